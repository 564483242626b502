import test from 'ava';
import type {
  SimulationResult,
  SimulatedRoute,
  SimulatedService,
} from '../../../fakes/fleet_load.js';
import {servedShareOf, sumSeconds} from '../../../fakes/fleet_load.js';
import {simulateFleet} from '../../../fakes/fleet_simulation.js';
import {cycled, simulatedRoute} from '../../../fakes/simulated_routes.js';

/**
 * 35 upstreams of four services. Every browse makes four lookups at the
 * catalogue, every order eight, two and three hops below the entry.
 */
const SERVICES: readonly SimulatedService[] = [
  {name: 'atlas', slotsCount: 50, speeds: cycled(16, [0.6, 1, 1.4])},
  {name: 'desk', slotsCount: 62, speeds: cycled(12, [0.5, 1, 1, 1.5])},
  {name: 'yard', slotsCount: 230, speeds: cycled(3, [0.7, 0.7, 1.6])},
  {name: 'catalogue', slotsCount: 59, speeds: [0.5, 1, 1, 1.5]},
];

const ROUTES: readonly SimulatedRoute[] = [
  simulatedRoute('browse', 'atlas', 2, [210, 1500, 1500], ['check']),
  simulatedRoute('order', 'desk', 0, [280, 1500, 2000], ['index', 'index']),
  simulatedRoute('read', 'catalogue', 1, [86, 1200, 300], []),
  simulatedRoute('check', 'desk', 0, [15, 2500, 1000], ['index']),
  simulatedRoute('index', 'yard', 0, [15, 2000, 800], cycled(4, ['lookup'])),
  simulatedRoute('lookup', 'catalogue', 0, [54, 700, 300], []),
];

/** Client load relative to the capacity of the catalogue: 1 is its limit. */
function simulateAt(
  ratio: number,
  seed: number,
  seconds: number,
  services = SERVICES,
): SimulationResult {
  // 236 slots at 95% do 224 ms of work each millisecond.
  const browsePerSecond = 494 * ratio;
  return simulateFleet({
    services,
    routes: ROUTES,
    clients: [
      {route: 'browse', perSecond: browsePerSecond, totalTimeoutMillis: 5000},
      {
        route: 'order',
        perSecond: browsePerSecond / 2,
        totalTimeoutMillis: 5000,
      },
      {route: 'read', perSecond: browsePerSecond / 4, totalTimeoutMillis: 1200},
    ],
    durationMillis: seconds * 1000,
    seed,
  });
}

const SETTLED_SECOND = 3;

for (const seed of [1, 2, 3]) {
  test(`replay ${seed}: most requests that a service runs in a burst succeed`, t => {
    // Guards against wasted work in a burst of 1.8 times the usual load: of
    // 12,090 requests that a service ran, 8,811 failed for a missing call three
    // hops below. A fifth of one kind could have been served, and an eighth was;
    // a more important kind was rejected while a less important one was
    // admitted. The burst is admitted for a second, and its lookups wait
    // behind those of more important requests until all of them are abandoned
    // after part of their calls, which then look like little demand. Causes:
    // among equals the queue took the oldest, so that none got all of its
    // calls; the queue of the fast upstream counted as an overload of the
    // service; and the nodes of the service each shed at a different level.
    const result = simulateAt(1.6, seed, 7);
    const runs = [...result.services.values()].map(seconds =>
      sumSeconds(seconds, SETTLED_SECOND),
    );
    const runCount = runs.reduce((sum, run) => sum + run.runCount, 0);
    const usefulCount = runs.reduce((sum, run) => sum + run.usefulCount, 0);
    const served = (name: string): number => {
      const part = sumSeconds(result.routes.get(name)!, SETTLED_SECOND);
      return (part.inTimeCount + part.lateCount) / part.sentCount;
    };
    const atlas = sumSeconds(result.services.get('atlas')!, SETTLED_SECOND);
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

/** A kind of request must be served at least this often, relative to all requests. */
const MIN_RELATIVE_SHARE = 0.25;

for (const ratio of [1.1, 1.4, 2]) {
  test(`no kind of request is starved at ${ratio} times the capacity`, t => {
    // Guards against a kind that is never served while more important ones
    // take all of the capacity.
    for (const seed of [1, 2, 3]) {
      const result = simulateAt(ratio, seed, 7);
      const settled = [...result.routes.values()].map(seconds =>
        seconds.slice(SETTLED_SECOND),
      );
      const allShare = servedShareOf(settled.flat());
      for (const [name, seconds] of result.routes) {
        const share = servedShareOf(seconds.slice(SETTLED_SECOND));
        t.log(seed, name, share, allShare);
        t.true(share >= MIN_RELATIVE_SHARE * allShare, `${name}, seed ${seed}`);
      }
    }
  });
}

for (const seed of [5, 6, 7]) {
  test(`requests whose calls all upstreams reject are shed at the entry node, seed ${seed}`, t => {
    // Guards against requests that fail below after other services have worked
    // for them, since rejected calls leave all slots free.
    const rejecting = SERVICES.map(service =>
      service.name === 'catalogue'
        ? {...service, rejectRatios: [0.55, 0.55, 0.55, 0.55]}
        : service,
    );
    const result = simulateAt(0.8, seed, 7, rejecting);
    const all = [...result.routes.values()].map(seconds =>
      sumSeconds(seconds, SETTLED_SECOND),
    );
    const sentCount = all.reduce((sum, part) => sum + part.sentCount, 0);
    const failedCount = all.reduce((sum, part) => sum + part.failedCount, 0);
    const read = sumSeconds(result.routes.get('read')!, SETTLED_SECOND);
    t.log(failedCount / sentCount, read.inTimeCount / read.sentCount);
    t.true(failedCount < 0.25 * sentCount);
    t.true(read.inTimeCount > 0.5 * read.sentCount);
  });
}

test('a fleet within its capacity serves every request', t => {
  const result = simulateAt(0.8, 4, 4);
  for (const [name, seconds] of result.routes) {
    const {inTimeCount, sentCount} = sumSeconds(seconds, 0);
    t.true(inTimeCount > 0.96 * sentCount, name);
  }
});

test('requests that upstreams would reject are shed at the entry node, others are served', t => {
  // Guards against requests that fail after other services have worked for
  // them: three of four upstreams of a service reject half of their requests
  // immediately and with free slots. They look idle, so the service's level
  // admitted everything, and 0.6 of the requests with calls there failed, the
  // most important ones first, since they make the most calls.
  const rejecting = SERVICES.map(service =>
    service.name === 'catalogue'
      ? {...service, rejectRatios: [0.55, 0, 0.55, 0.55]}
      : service,
  );
  const result = simulateAt(0.8, 5, 7, rejecting);
  const order = sumSeconds(result.routes.get('order')!, SETTLED_SECOND);
  const all = [...result.routes.values()].map(seconds =>
    sumSeconds(seconds, SETTLED_SECOND),
  );
  const sentCount = all.reduce((sum, part) => sum + part.sentCount, 0);
  const failedCount = all.reduce((sum, part) => sum + part.failedCount, 0);
  t.log(order.inTimeCount / order.sentCount, failedCount / sentCount);
  t.true(order.inTimeCount > 0.5 * order.sentCount);
  t.true(failedCount < 0.25 * sentCount);
});
