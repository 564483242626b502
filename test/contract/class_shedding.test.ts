/**
 * Under overload a request is refused only when nothing less important is
 * being given the slots it asked for, over all hosts of a service in the zone.
 */
import type {ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {createIntervalTimer} from '../../src/base/lifecycle.js';
import type {TestFleet} from '../fakes/in_process_fleet.js';
import {sendAsCaller, startTestFleet} from '../fakes/in_process_fleet.js';
import {createPolicyBytes} from '../fakes/policy_documents.js';

const HOSTS_COUNT = 3;
const SLOTS_COUNT = 4;
const ORDERS_CLASS = 'orders';

const PLACES = Array.from({length: HOSTS_COUNT}, (_, index) => ({
  name: `desk-${String(index + 1)}`,
  service: 'desk',
  zone: 'za',
}));

const POLICY = createPolicyBytes(1, draft => {
  draft.retryBudget = {ratio: 1, minimumPerSecond: 1_000};
  const [service] = draft.services;
  const [order, read] = service?.routes ?? [];
  if (service === undefined || order === undefined || read === undefined) {
    throw new Error('unexpected base policy');
  }
  service.slotsCount = SLOTS_COUNT;
  service.queueCount = 4 * SLOTS_COUNT;
  service.queueWaitMillis = 5_000;
  service.progressTimeoutMillis = 20_000;
  order.isKeyRequired = false;
  order.deadlineMillis = 30_000;
  order.retryBound = 4;
  read.deadlineMillis = 30_000;
  const background = structuredClone(read);
  background.name = 'rebuild';
  background.path = '/rebuild/:id';
  background.className = 'background';
  service.routes.push(background);
});

/** What happened to one request, in order of events. */
interface Outcome {
  readonly className: string;
  readonly arrivedAt: number;
  readonly endedAt: number;
  readonly isAnswered: boolean;
}

interface StartedExecution {
  readonly className: string;
  readonly startedAt: number;
}

interface Observation {
  readonly outcomes: readonly Outcome[];
  readonly executions: readonly StartedExecution[];
}

const PATHS: Readonly<Record<string, string>> = {
  orders: '/orders',
  browsing: '/orders/1',
  background: '/rebuild/1',
};

function classOfPath(path: string): string {
  const found = Object.entries(PATHS).find(([, value]) => value === path);
  return found?.[0] ?? 'unknown';
}

/**
 * Sends a burst of orders at once and then requests of the classes at a steady
 * rate to the named hosts.
 */
async function surge(
  fleet: TestFleet,
  {burstCount, pattern, count, entries, overloadFactor}: SurgeCase,
): Promise<Observation> {
  let event = 0;
  const executions: StartedExecution[] = [];
  const running: ServerResponse[] = [];
  const finishOne = (): void => {
    running.shift()?.end('done');
  };
  for (const host of fleet.hosts) {
    host.upstream.setScript((request, response) => {
      const className = classOfPath(request.url ?? '');
      event += 1;
      executions.push({className, startedAt: event});
      running.push(response);
    });
  }
  const sent: Promise<Outcome>[] = [];
  let creditCount = 0;
  for (let index = 0; index < burstCount + count; index += 1) {
    const isBurst = index < burstCount;
    const className = isBurst
      ? ORDERS_CLASS
      : (pattern[index % pattern.length] ?? '');
    const entry = entries[index % entries.length] ?? '';
    event += 1;
    const arrivedAt = event;
    const answered = sendAsCaller({
      port: fleet.host(entry).path.callerPort,
      service: 'desk',
      method: className === ORDERS_CLASS ? 'POST' : 'GET',
      path: PATHS[className] ?? '',
    });
    sent.push(
      answered.then(answer => {
        event += 1;
        const isAnswered = answer.statusCode === 200;
        return {className, arrivedAt, endedAt: event, isAnswered};
      }),
    );
    if (isBurst) continue;
    await sleep(INTERVAL_MILLIS);
    creditCount += 1 / overloadFactor;
    if (creditCount >= 1) {
      creditCount -= 1;
      finishOne();
    }
  }
  const drain = createIntervalTimer(INTERVAL_MILLIS, finishOne);
  const outcomes = await Promise.all(sent);
  drain.dispose();
  return {outcomes, executions};
}

/** Orders refused although something less important started meanwhile. */
function wronglyRefused({outcomes, executions}: Observation): number {
  const refused = outcomes.filter(
    ({className, isAnswered}) => className === ORDERS_CLASS && !isAnswered,
  );
  return refused.filter(order =>
    executions.some(
      ({className, startedAt}) =>
        className !== ORDERS_CLASS &&
        startedAt > order.arrivedAt &&
        startedAt < order.endedAt,
    ),
  ).length;
}

function refusedCount(observation: Observation, className: string): number {
  return observation.outcomes.filter(
    outcome => outcome.className === className && !outcome.isAnswered,
  ).length;
}

interface SurgeCase {
  readonly title: string;
  /** Orders sent at once before the steady load. */
  readonly burstCount: number;
  /**
   * Requests sent for each execution that ends: the load is defined by counts,
   * so that a slow machine sees the same overload.
   */
  readonly overloadFactor: number;
  /** Repeated pattern of classes. */
  readonly pattern: readonly string[];
  readonly count: number;
  readonly entries: readonly string[];
  readonly areOrdersSafe: boolean;
}

const ALL_ENTRIES = PLACES.map(({name}) => name);
const MIXED = ['background', 'orders', 'browsing', 'background', 'browsing'];

const INTERVAL_MILLIS = 1;

const SURGES: readonly SurgeCase[] = [
  {
    title: 'half as much again as the capacity',
    overloadFactor: 1.5,
    pattern: MIXED,
    burstCount: 0,
    count: 600,
    entries: ALL_ENTRIES,
    areOrdersSafe: true,
  },
  {
    title: 'three times the capacity',
    overloadFactor: 3,
    pattern: MIXED,
    burstCount: 0,
    count: 600,
    entries: ALL_ENTRIES,
    areOrdersSafe: true,
  },
  {
    title: 'three times the capacity, all arriving at one host',
    overloadFactor: 3,
    pattern: MIXED,
    burstCount: 0,
    count: 600,
    entries: ['desk-1'],
    areOrdersSafe: true,
  },
  {
    title: 'ten times the capacity, orders alone exceed it',
    overloadFactor: 10,
    pattern: ['orders', 'orders', 'orders', 'browsing'],
    burstCount: 200,
    count: 400,
    entries: ALL_ENTRIES,
    areOrdersSafe: false,
  },
];

for (const surgeCase of SURGES) {
  test.serial(`orders are shed last: ${surgeCase.title}`, async t => {
    // Symptom: orders fail while background jobs are served.
    // Sequence: demand exceeds the slots; queues fill in order of arrival.
    // Cause: admission does not look at what a request is worth, or looks at
    // one host only.
    const fleet = await startTestFleet(POLICY, PLACES);
    t.teardown(() => fleet.dispose());
    const observation = await surge(fleet, surgeCase);
    t.log({
      orders: refusedCount(observation, 'orders'),
      browsing: refusedCount(observation, 'browsing'),
      background: refusedCount(observation, 'background'),
      wrong: wronglyRefused(observation),
    });
    t.is(wronglyRefused(observation), 0);
    t.true(
      observation.outcomes.some(({isAnswered}) => !isAnswered),
      'the surge is one',
    );
    const refusedOrders = refusedCount(observation, ORDERS_CLASS);
    t.is(refusedOrders === 0, surgeCase.areOrdersSafe);
  });
}
