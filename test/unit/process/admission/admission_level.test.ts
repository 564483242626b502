import test from 'ava';
import {
  createAdmissionLevel,
  LEVEL_WINDOW_MILLIS,
} from '../../../../src/process/admission/admission_level.js';
import {
  BUCKETS_COUNT,
  LEAST_IMPORTANT,
} from '../../../../src/process/admission/importance.js';

/** Load on one upstream with 30 slots that needs 40 ms for each call. */
const SLOTS_COUNT = 30;
const CALL_MILLIS = 40;
const CAPACITY_PER_WINDOW = (SLOTS_COUNT * LEVEL_WINDOW_MILLIS) / CALL_MILLIS;

interface WindowDemand {
  /** Calls of each rank, relative to the capacity of the upstream. */
  readonly byRank: readonly number[];
}

interface SimulationResult {
  /** Admitted share of each rank over the last ten windows. */
  readonly admittedRatios: readonly number[];
  readonly largestQueuedCount: number;
  readonly finalLevel: number;
}

/**
 * Replays windows of demand. Calls reach the upstream one window after the
 * entry node has admitted their request, as below two other services.
 */
function simulate(windows: readonly WindowDemand[]): SimulationResult {
  const level = createAdmissionLevel();
  let published = level.level();
  let queuedCount = 0;
  let largestQueuedCount = 0;
  const ratios: number[][] = [];
  for (const {byRank} of windows) {
    let arrivedCount = 0;
    const admitted = byRank.map((ratio, rank) => {
      const demand = ratio * CAPACITY_PER_WINDOW;
      const first = rank * BUCKETS_COUNT;
      const buckets = Math.min(
        BUCKETS_COUNT,
        Math.max(0, Math.floor(published) - first + 1),
      );
      const perBucket = demand / BUCKETS_COUNT;
      for (let index = 0; index < buckets; index += 1) {
        level.recordArrival(first + index, perBucket * CALL_MILLIS);
      }
      arrivedCount += perBucket * buckets;
      return buckets / BUCKETS_COUNT;
    });
    published = level.level();
    queuedCount = Math.max(0, queuedCount + arrivedCount - CAPACITY_PER_WINDOW);
    largestQueuedCount = Math.max(largestQueuedCount, queuedCount);
    level.update({
      limitCount: SLOTS_COUNT,
      queuedCount,
      averageMillis: CALL_MILLIS,
      service: undefined,
      windowMillis: LEVEL_WINDOW_MILLIS,
    });
    ratios.push(admitted);
  }
  const last = ratios.slice(-10);
  const rankCount = windows[0]?.byRank.length ?? 0;
  const admittedRatios = Array.from(
    {length: rankCount},
    (_, rank) =>
      last.reduce((sum, window) => sum + (window[rank] ?? 0), 0) / last.length,
  );
  return {admittedRatios, largestQueuedCount, finalLevel: level.level()};
}

function repeat(byRank: readonly number[], count: number): WindowDemand[] {
  return Array.from({length: count}, () => ({byRank}));
}

test('an upstream within its capacity admits every request', t => {
  const {finalLevel, largestQueuedCount} = simulate(
    repeat([0.4, 0.1, 0.4], 30),
  );
  t.is(finalLevel, LEAST_IMPORTANT);
  t.is(largestQueuedCount, 0);
});

test('a burst is shed from the least important rank only', t => {
  // Guards against a burst that fails nearly every order: its calls converge on
  // one service, which rejects some call of almost each request unless the
  // entry nodes shed by importance. Demand is 1.7 times the capacity here, 0.9
  // of it unimportant.
  const {admittedRatios} = simulate(repeat([0.6, 0.2, 0.9], 60));
  t.is(admittedRatios[0], 1);
  t.is(admittedRatios[1], 1);
  t.true(admittedRatios[2]! > 0.1 && admittedRatios[2]! < 0.45);
});

test('a rank that alone exceeds the capacity is shed partially', t => {
  const {admittedRatios} = simulate(repeat([1.8, 0.2], 80));
  t.true(admittedRatios[0]! > 0.4 && admittedRatios[0]! < 0.65);
  t.is(admittedRatios[1], 0);
});

test('the level recovers soon after the burst', t => {
  const calm = repeat([0.3, 0.1, 0.3], 25);
  const {finalLevel, admittedRatios} = simulate([
    ...repeat([0.6, 0.2, 0.9], 40),
    ...calm,
  ]);
  t.is(admittedRatios[2], 1);
  t.true(finalLevel >= 3 * BUCKETS_COUNT - 1);
});
