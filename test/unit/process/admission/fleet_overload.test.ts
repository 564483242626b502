import test from 'ava';
import type {
  ReplayOutcome,
  ReplayRoute,
  ReplayService,
} from '../../../fakes/fleet_load.js';
import {sumSeconds} from '../../../fakes/fleet_load.js';
import {replayFleet} from '../../../fakes/fleet_replay.js';

/**
 * 35 upstreams of four services. Every browse makes four lookups at the
 * catalogue, every order eight, two and three hops below the entry.
 */
const SERVICES: readonly ReplayService[] = [
  {name: 'atlas', slotsCount: 50, speeds: cycled(16, [0.6, 1, 1.4])},
  {name: 'desk', slotsCount: 62, speeds: cycled(12, [0.5, 1, 1, 1.5])},
  {name: 'yard', slotsCount: 230, speeds: cycled(3, [0.7, 0.7, 1.6])},
  {name: 'catalogue', slotsCount: 59, speeds: [0.5, 1, 1, 1.5]},
];

const ROUTES: readonly ReplayRoute[] = [
  route('browse', 'atlas', 2, [210, 1500, 1500], ['check']),
  route('order', 'desk', 0, [280, 1500, 2000], ['index', 'index']),
  route('read', 'catalogue', 1, [86, 1200, 300], []),
  route('check', 'desk', 0, [15, 2500, 1000], ['index']),
  route('index', 'yard', 0, [15, 2000, 800], cycled(4, ['lookup'])),
  route('lookup', 'catalogue', 0, [54, 700, 300], []),
];

/** Clients by what the catalogue could do for all of them: 1 is its limit. */
function replayAt(
  ratio: number,
  seed: number,
  seconds: number,
  services = SERVICES,
): ReplayOutcome {
  // 236 slots at 95% do 224 ms of work each millisecond.
  const browsePerSecond = 494 * ratio;
  return replayFleet({
    services,
    routes: ROUTES,
    clients: [
      {route: 'browse', perSecond: browsePerSecond, patienceMillis: 5000},
      {route: 'order', perSecond: browsePerSecond / 2, patienceMillis: 5000},
      {route: 'read', perSecond: browsePerSecond / 4, patienceMillis: 1200},
    ],
    lengthMillis: seconds * 1000,
    seed,
  });
}

function route(
  name: string,
  service: string,
  rank: number,
  [workMillis, timeoutMillis, objectiveMillis]: readonly [
    number,
    number,
    number,
  ],
  calls: readonly string[],
): ReplayRoute {
  return {
    name,
    service,
    rank,
    workMillis,
    timeoutMillis,
    objectiveMillis,
    calls,
  };
}

function cycled<T>(count: number, values: readonly T[]): T[] {
  return Array.from({length: count}, (_, i) => values[i % values.length]!);
}

const SETTLED_SECOND = 3;

for (const seed of [1, 2, 3]) {
  test(`replay ${seed}: in a burst, what a service runs ends well`, t => {
    // Symptom: of 12,090 requests that a service ran in a burst of 1.8 times the
    // usual load, 8,811 ended badly, for want of a call three hops below. Of a
    // kind that could have been served to a fifth, an eighth was; a more
    // important one was refused while the less important was let in.
    // Sequence: the burst is let in for a second. Its lookups wait behind those
    // of more important requests, each a little too long; all of them are given
    // up after part of their calls, which then look like little demand. The
    // nodes of the service each shed at a level of their own.
    // Cause: among equals the queue took the oldest, so that none got all of its
    // calls; the fast upstream's queue was taken for an overload of the service.
    const outcome = replayAt(1.6, seed, 7);
    const runs = [...outcome.services.values()].map(seconds =>
      sumSeconds(seconds, SETTLED_SECOND),
    );
    const runCount = runs.reduce((sum, run) => sum + run.runCount, 0);
    const usefulCount = runs.reduce((sum, run) => sum + run.usefulCount, 0);
    const served = (name: string): number => {
      const part = sumSeconds(outcome.routes.get(name)!, SETTLED_SECOND);
      return (part.inTimeCount + part.lateCount) / part.sentCount;
    };
    const atlas = sumSeconds(outcome.services.get('atlas')!, SETTLED_SECOND);
    t.log(
      usefulCount / runCount,
      atlas.usefulCount / atlas.runCount,
      served('order'),
      served('read'),
      served('browse'),
    );
    t.true(usefulCount > 0.9 * runCount);
    t.true(atlas.usefulCount > 0.75 * atlas.runCount);
    t.true(served('order') > 0.95);
    t.true(served('read') > 0.95);
    t.true(served('browse') > 0.1);
  });
}

test('within its capacity a fleet serves everything', t => {
  const outcome = replayAt(0.8, 4, 4);
  for (const [name, seconds] of outcome.routes) {
    const {inTimeCount, sentCount} = sumSeconds(seconds, 0);
    t.true(inTimeCount > 0.96 * sentCount, name);
  }
});

test('what upstreams reject is kept out, and the rest is served', t => {
  // Symptom: three of four upstreams of a service reject half of what they are
  // handed, at once and with free slots. Of the requests whose calls meet there
  // 0.6 fail after others have worked for them, the most important first of all,
  // for they make most calls. Cause: an upstream that rejects looks idle, so the
  // service's level lets everything in.
  const rejecting = SERVICES.map(service =>
    service.name === 'catalogue'
      ? {...service, rejectRatios: [0.55, 0, 0.55, 0.55]}
      : service,
  );
  const outcome = replayAt(0.8, 5, 7, rejecting);
  const order = sumSeconds(outcome.routes.get('order')!, SETTLED_SECOND);
  const all = [...outcome.routes.values()].map(seconds =>
    sumSeconds(seconds, SETTLED_SECOND),
  );
  const sentCount = all.reduce((sum, part) => sum + part.sentCount, 0);
  const failedCount = all.reduce((sum, part) => sum + part.failedCount, 0);
  t.log(order.inTimeCount / order.sentCount, failedCount / sentCount);
  t.true(order.inTimeCount > 0.5 * order.sentCount);
  t.true(failedCount < 0.25 * sentCount);
});
