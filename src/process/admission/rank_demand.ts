/**
 * Estimates the work that each bucket of each rank brings to one upstream.
 *
 * A level changes faster than its effect arrives: requests admitted under an
 * earlier level are still in flight. Only buckets that have been admitted for
 * several windows are measured, and a rank that is fully shed keeps its last
 * estimate; if it were admitted again without one, it would arrive as a burst.
 */
import {BUCKETS_COUNT, LEAST_IMPORTANT, rankOf} from './importance.js';

/** Demand on one upstream by rank. */
export interface RankDemand {
  record(importance: number, costMillis: number): void;
  /** Ends a window during which this level was published. */
  endWindow(level: number): void;
  /** Expected work of one bucket per window. */
  bucketWork(importance: number): number;
  /** Expected work of all buckets up to a level per window. */
  workUpTo(level: number): number;
  /** Level whose buckets have all been admitted for several windows. */
  settledLevel(): number;
  /** Least important value of the last rank that has demand. */
  lastLevel(): number;
  /**
   * The highest level under which requests that arrive now may have been
   * admitted.
   */
  causingLevel(): number;
  /** The highest level under which queued requests may have been admitted. */
  waitingLevel(): number;
}

/** Windows for which a bucket must have been admitted to be measured. */
const SETTLING_WINDOWS_COUNT = 8;

/** Windows from the admission of a request to most of its calls. */
const CAUSING_WINDOWS_COUNT = 5;

/** Buckets of a rank that must be admitted for its estimate to be updated. */
const MIN_MEASURED_BUCKETS_COUNT = 4;

/**
 * Weight of one window in a rising and in a falling estimate. Growing work must
 * be detected within the second in which it builds up a queue. Work that
 * shrinks in an overload is mostly that of requests whose earlier calls failed;
 * if a rank were admitted again for that reason, it would arrive as a burst.
 */
const RISE_WEIGHT = 0.5;
const FALL_WEIGHT = 0.1;

const RANKS_COUNT = rankOf(LEAST_IMPORTANT) + 1;

/** Creates an estimate without any demand. */
export function createRankDemand(): RankDemand {
  const windowWork = new Float64Array(RANKS_COUNT);
  const estimates = new Array<number | undefined>(RANKS_COUNT);
  let recentLevels: readonly number[] = [LEAST_IMPORTANT];

  /** Cached, since it is read for each request. */
  let settled = LEAST_IMPORTANT;

  const measure = (rank: number): void => {
    const count = bucketsIn(rank, settled);
    if (count < MIN_MEASURED_BUCKETS_COUNT) return;
    const sample = (windowWork[rank] ?? 0) / count;
    const previous = estimates[rank] ?? sample;
    const weight = sample > previous ? RISE_WEIGHT : FALL_WEIGHT;
    estimates[rank] = previous + (sample - previous) * weight;
  };

  /**
   * A rank that was never measured is assumed to be like the busiest measured
   * one.
   */
  const bucketWorkOf = (rank: number): number =>
    estimates[rank] ?? Math.max(0, ...estimates.map(known => known ?? 0));

  return {
    record: (importance, costMillis) => {
      if (importance > settled) return;
      const rank = rankOf(importance);
      windowWork[rank] = (windowWork[rank] ?? 0) + costMillis;
    },
    endWindow: level => {
      for (let rank = 0; rank < RANKS_COUNT; rank += 1) measure(rank);
      windowWork.fill(0);
      recentLevels = [level, ...recentLevels].slice(0, SETTLING_WINDOWS_COUNT);
      settled = Math.min(...recentLevels);
    },
    settledLevel: () => settled,
    lastLevel: () => {
      const lastRank = estimates.findLastIndex(known => (known ?? 0) > 0);
      return lastRank < 0
        ? LEAST_IMPORTANT
        : (lastRank + 1) * BUCKETS_COUNT - 1;
    },
    waitingLevel: () => Math.max(...recentLevels),
    causingLevel: () =>
      Math.max(...recentLevels.slice(0, CAUSING_WINDOWS_COUNT)),
    bucketWork: importance => bucketWorkOf(rankOf(importance)),
    workUpTo: level => {
      let sum = 0;
      for (let rank = 0; rank <= rankOf(level); rank += 1) {
        sum += bucketWorkOf(rank) * bucketsIn(rank, level);
      }
      return sum;
    },
  };
}

/** Number of buckets of a rank that a level admits. */
function bucketsIn(rank: number, level: number): number {
  const first = rank * BUCKETS_COUNT;
  return Math.min(BUCKETS_COUNT, Math.max(0, Math.floor(level) - first + 1));
}
