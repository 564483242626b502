/**
 * Replays upstreams that announce limits in a fleet with three levels of calls.
 */
import test from 'ava';
import {peakCount, toleratedCount} from '../../../fakes/announced_load.js';
import type {
  AnnouncedPeriod,
  SimulatedRoute,
  SimulationResult,
} from '../../../fakes/fleet_load.js';
import {sumSeconds} from '../../../fakes/fleet_load.js';
import {simulateFleet} from '../../../fakes/fleet_simulation.js';

const ANNOUNCED_MILLIS = 4000;
const ENDED_MILLIS = 14_000;
const DURATION_MILLIS = 18_000;

/** Time from the announcement to the first window under the limit. */
const STABLE_MILLIS = 3000;

const ROUTES: readonly SimulatedRoute[] = [
  {
    name: 'browse',
    service: 'atlas',
    rank: 2,
    workMillis: 100,
    timeoutMillis: 1500,
    objectiveMillis: 1500,
    calls: ['lookup', 'lookup'],
  },
  {
    name: 'order',
    service: 'desk',
    rank: 0,
    workMillis: 150,
    timeoutMillis: 1500,
    objectiveMillis: 1500,
    calls: ['lookup'],
  },
  {
    name: 'lookup',
    service: 'catalogue',
    rank: 0,
    workMillis: 40,
    timeoutMillis: 700,
    objectiveMillis: 300,
    calls: [],
  },
];

/** Speeds of the upstreams of the catalogue, repeated. */
const SPEEDS = [0.7, 1, 1, 1.3];

function announced(perSecond: number): AnnouncedPeriod {
  return {
    perSecond,
    fromMillis: ANNOUNCED_MILLIS,
    untilMillis: ENDED_MILLIS,
  };
}

/** Simulates a fleet whose catalogue has an upstream for each of these limits. */
function simulate(
  limits: readonly (AnnouncedPeriod | undefined)[],
  seed: number,
): SimulationResult {
  return simulateFleet({
    services: [
      {name: 'atlas', slotsCount: 60, speeds: [0.8, 1, 1, 1.2]},
      {name: 'desk', slotsCount: 60, speeds: [0.8, 1, 1.2]},
      {
        name: 'catalogue',
        slotsCount: 40,
        speeds: limits.map((_, index) => SPEEDS[index % SPEEDS.length]!),
        limits,
      },
    ],
    routes: ROUTES,
    clients: [
      {route: 'browse', perSecond: 100, totalTimeoutMillis: 5000},
      {route: 'order', perSecond: 50, totalTimeoutMillis: 5000},
    ],
    durationMillis: DURATION_MILLIS,
    seed,
  });
}

function servedRatio(
  result: SimulationResult,
  route: string,
  fromSecond: number,
  toSecond: number,
): number {
  const seconds = result.routes.get(route)!.slice(fromSecond, toSecond);
  const {inTimeCount, sentCount} = sumSeconds(seconds, 0);
  return inTimeCount / sentCount;
}

/** Largest number of arrivals in a window under the limit, by upstream. */
function peaksUnderLimit(result: SimulationResult): readonly number[] {
  return [0, 1, 2, 3].map(index => {
    const times = result.arrivalMillis.get(`catalogue-${String(index)}`)!;
    return peakCount(
      times.filter(
        millis =>
          millis >= ANNOUNCED_MILLIS + STABLE_MILLIS && millis < ENDED_MILLIS,
      ),
    );
  });
}

for (const seed of [1, 2, 3]) {
  test(`replay ${seed}: other upstreams of a service take over from limited ones`, t => {
    // Guards against requests that fail because each node offers them to the limited
    // upstreams first.
    const result = simulate(
      [announced(5), announced(12), undefined, undefined],
      seed,
    );
    const peaks = peaksUnderLimit(result);
    const browse = servedRatio(result, 'browse', 5, 14);
    const order = servedRatio(result, 'order', 5, 14);
    t.log(peaks.join(' '), browse, order);
    t.true(peaks[0]! <= toleratedCount(5));
    t.true(peaks[1]! <= toleratedCount(12));
    t.true(browse > 0.95);
    t.true(order > 0.95);
  });

  test(`replay ${seed}: requests find the few upstreams of a service without a limit`, t => {
    // Guards against requests that are refused after some limited upstreams although
    // others have free slots.
    const limits = Array.from({length: 12}, (_, index) =>
      index < 9 ? announced(3) : undefined,
    );
    const result = simulate(limits, seed);
    const peaks = peaksUnderLimit(result);
    const browse = servedRatio(result, 'browse', 5, 14);
    const order = servedRatio(result, 'order', 5, 14);
    t.log(peaks.join(' '), browse, order);
    for (const peak of peaks) t.true(peak <= toleratedCount(3));
    t.true(browse > 0.95);
    t.true(order > 0.95);
  });

  test(`replay ${seed}: if a whole service is limited, requests it cannot serve are shed at the entry`, t => {
    // Guards against work for requests whose calls the limits refuse, and against limits
    // that are spent on less important requests.
    const result = simulate(
      Array.from({length: 4}, () => announced(20)),
      seed,
    );
    const peaks = peaksUnderLimit(result);
    const order = servedRatio(result, 'order', 7, 14);
    const browse = servedRatio(result, 'browse', 7, 14);
    const atlas = sumSeconds(result.services.get('atlas')!.slice(7, 14), 0);
    const after = servedRatio(result, 'browse', 16, 18);
    t.log(
      peaks.join(' '),
      order,
      browse,
      atlas.usefulCount / atlas.runCount,
      after,
    );
    for (const peak of peaks) t.true(peak <= toleratedCount(20));
    t.true(order > 0.9);
    t.true(after > 0.9);
  });
}
