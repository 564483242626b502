import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {ClientResponse} from '../fakes/fleet_client.js';
import {SAFE_PATH, ORDER_PATH} from '../fakes/platform_fleet.js';
import type {FleetHost, PlatformFleet} from '../fakes/platform_fleet.js';
import type {ReceivedRequest} from '../fakes/fake_upstream.js';
import {startFleet} from '../fakes/test_fleet.js';

const CULPRIT_PATH = '/a/culprit?page=1';

/** Execution time of other requests, so that many are in progress at a crash. */
const WORK_MILLIS = 60;
const CRASH_MILLIS = 30;
const DOWN_MILLIS = 400;

/** Allowed executions of a request after it has crashed three upstreams. */
const ALLOWED_COUNT = 3;
const CRASHES_COUNT = 3;

interface CrashingFleet {
  readonly fleet: PlatformFleet;
  readonly callers: readonly FleetHost[];
  /** Number of crashes of all upstreams. */
  crashesCount(): number;
  /** Number of times that the culprit was dispatched to an upstream. */
  culpritRunsCount(): number;
  sendCulprit(): Promise<ClientResponse>;
}

/** The request that crashes upstreams. */
interface Culprit {
  readonly method: string;
  readonly path: string;
  readonly body?: string;
}

const CULPRIT_READ: Culprit = {method: 'GET', path: CULPRIT_PATH};

function isSame(culprit: Culprit, request: ReceivedRequest): boolean {
  const {method, path, body = ''} = culprit;
  return (
    request.method === method &&
    request.target === path &&
    request.body === body
  );
}

/** Starts upstreams of `orders` that crash whenever they execute the culprit. */
async function startCrashingFleet(
  t: ExecutionContext,
  culprit = CULPRIT_READ,
): Promise<CrashingFleet> {
  const fleet = await startFleet(t, {
    services: ['shop', 'desk', 'orders', 'orders', 'orders', 'orders'],
    paths: [SAFE_PATH, ORDER_PATH],
    slots: 40,
  });
  const callers = fleet.hosts;
  const orders = fleet.hosts.filter(({service}) => service === 'orders');
  let runsCount = 0;
  let sentCount = 0;
  for (const host of orders) {
    host.upstream.setHandler(request => {
      setTimeout(() => {
        request.respond(200, 'served');
      }, WORK_MILLIS);
    });
    host.upstream.crashOn({
      isMatch: request => {
        if (!isSame(culprit, request)) return false;
        runsCount += 1;
        return true;
      },
      afterMillis: CRASH_MILLIS,
      downMillis: DOWN_MILLIS,
      onStarted: () => {
        fleet.publish(host);
      },
    });
  }
  return {
    fleet,
    callers,
    crashesCount: () =>
      orders.reduce((sum, {upstream}) => sum + upstream.crashesCount, 0),
    culpritRunsCount: () => runsCount,
    sendCulprit: () => {
      const caller = callers[sentCount % callers.length];
      sentCount += 1;
      return fleet.send(caller!, {
        ...culprit,
        attemptId: `culprit${String(sentCount)}`,
        timeoutMillis: 1000,
      });
    },
  };
}

/** Sends the culprit through each node in turn until it has crashed three upstreams. */
async function crashThreeUpstreams(crashing: CrashingFleet): Promise<void> {
  for (let index = 0; index < 400; index += 1) {
    if (crashing.crashesCount() >= CRASHES_COUNT) break;
    await crashing.sendCulprit();
    await sleep(20);
  }
  await sleep(2 * DOWN_MILLIS);
}

test('a request that crashed three upstreams is dispatched at most three more times', async t => {
  // Guards against a request that repeatedly crashes all upstreams of its service because
  // nodes do not recognise the retries of its callers.
  const crashing = await startCrashingFleet(t);
  await crashThreeUpstreams(crashing);
  t.true(crashing.crashesCount() >= CRASHES_COUNT);
  const runsBefore = crashing.culpritRunsCount();
  const answers: ClientResponse[] = [];
  for (let index = 0; index < 18; index += 1) {
    answers.push(await crashing.sendCulprit());
    await sleep(50);
  }
  const furtherRunsCount = crashing.culpritRunsCount() - runsBefore;
  t.true(furtherRunsCount <= ALLOWED_COUNT, String(furtherRunsCount));
  // None of them was executed, and each response has a `retry-after`.
  for (const {statusCode, headers} of answers.slice(ALLOWED_COUNT)) {
    t.is(statusCode, 503);
    t.true(Number(headers['retry-after']) > 0);
  }
});

test('requests in progress during crashes are served when they are sent again', async t => {
  // Guards against a quarantine of requests that were in progress during crashes but did
  // not cause them.
  const crashing = await startCrashingFleet(t);
  const {fleet, callers} = crashing;
  const otherIndexes = Array.from({length: 30}, (_, index) => index);
  const sendAll = (round: number): Promise<ClientResponse[]> =>
    Promise.all(
      otherIndexes.map(index =>
        fleet.send(callers[index % 2]!, {
          attemptId: `by${String(round)}-${String(index)}`,
          path: `/a/${String(index)}`,
        }),
      ),
    );
  for (let round = 0; round < 6; round += 1) {
    await Promise.all([sendAll(round), crashing.sendCulprit()]);
    await sleep(50);
  }
  await crashThreeUpstreams(crashing);
  const answers = await sendAll(100);
  const served = answers.filter(({statusCode}) => statusCode === 200);
  t.is(served.length, otherIndexes.length);
});

test('an order that crashes upstreams is refused, orders with other bodies are served', async t => {
  // Guards against a quarantine of a whole path because of one body.
  const culprit = {method: 'POST', path: '/order/1', body: 'culprit'};
  const crashing = await startCrashingFleet(t, culprit);
  const {fleet, callers} = crashing;
  await crashThreeUpstreams(crashing);
  t.is(crashing.crashesCount(), CRASHES_COUNT);
  const runsBefore = crashing.culpritRunsCount();
  for (const [index, caller] of callers.entries()) {
    const refused = await crashing.sendCulprit();
    t.is(refused.statusCode, 503);
    const served = await fleet.send(caller, {
      ...culprit,
      body: 'other',
      attemptId: `other${String(index)}`,
    });
    t.is(served.statusCode, 200);
  }
  t.is(crashing.culpritRunsCount(), runsBefore);
});
