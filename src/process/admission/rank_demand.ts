/**
 * Estimates the work that each bucket of each rank brings to one upstream.
 *
 * A level moves faster than its effect arrives: what entered under an earlier
 * level is still on its way. Only buckets that have been in for several windows
 * are measured, and a rank that is shut keeps its last estimate; opened by
 * guess, it would come as a burst.
 */
import {BUCKETS_COUNT, LEAST_IMPORTANT, rankOf} from './importance.js';

/** Demand on one upstream by rank. */
export interface RankDemand {
  record(importance: number, costMillis: number): void;
  /** Ends a window during which this level was published. */
  endWindow(level: number): void;
  /** Work that one bucket is expected to bring in a window. */
  bucketWork(importance: number): number;
  /** Work that all buckets up to a level are expected to bring in a window. */
  workUpTo(level: number): number;
  /** Level whose buckets have all been in for several windows. */
  settledLevel(): number;
  /** Least important value of the last rank that brings work. */
  lastLevel(): number;
  /** The highest level under which what arrives now may have entered. */
  causingLevel(): number;
  /** The highest level under which what waits now may have entered. */
  waitingLevel(): number;
}

/** Windows for which a bucket must have been in to be measured. */
const SETTLING_WINDOWS_COUNT = 8;

/** Windows that a request needs from its entry to most of its calls. */
const CAUSING_WINDOWS_COUNT = 5;

/** Buckets of a rank that must be in for its estimate to be taken. */
const TRUSTED_BUCKETS_COUNT = 4;

/**
 * Weight of one window in an estimate that rises and in one that falls. Work
 * that grows must be seen within the second in which it becomes a queue; work
 * that shrinks in an overload is mostly that of requests whose earlier calls
 * failed, and let in by it, a rank would come as a burst.
 */
const RISE_WEIGHT = 0.5;
const FALL_WEIGHT = 0.1;

const RANKS_COUNT = rankOf(LEAST_IMPORTANT) + 1;

/** Creates an estimate that knows of no demand. */
export function createRankDemand(): RankDemand {
  const windowWork = new Float64Array(RANKS_COUNT);
  const estimates = new Array<number | undefined>(RANKS_COUNT);
  let recentLevels: readonly number[] = [LEAST_IMPORTANT];

  /** Asked for each request, so it is kept. */
  let settled = LEAST_IMPORTANT;

  const measure = (rank: number): void => {
    const count = bucketsIn(rank, settled);
    if (count < TRUSTED_BUCKETS_COUNT) return;
    const sample = (windowWork[rank] ?? 0) / count;
    const before = estimates[rank] ?? sample;
    const weight = sample > before ? RISE_WEIGHT : FALL_WEIGHT;
    estimates[rank] = before + (sample - before) * weight;
  };

  /** A rank never measured counts like the busiest that was. */
  const ofRank = (rank: number): number =>
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
      const last = estimates.findLastIndex(known => (known ?? 0) > 0);
      return last < 0 ? LEAST_IMPORTANT : (last + 1) * BUCKETS_COUNT - 1;
    },
    waitingLevel: () => Math.max(...recentLevels),
    causingLevel: () =>
      Math.max(...recentLevels.slice(0, CAUSING_WINDOWS_COUNT)),
    bucketWork: importance => ofRank(rankOf(importance)),
    workUpTo: level => {
      let sum = 0;
      for (let rank = 0; rank <= rankOf(level); rank += 1) {
        sum += ofRank(rank) * bucketsIn(rank, level);
      }
      return sum;
    },
  };
}

/** Buckets of a rank that a level lets in. */
function bucketsIn(rank: number, level: number): number {
  const first = rank * BUCKETS_COUNT;
  return Math.min(BUCKETS_COUNT, Math.max(0, Math.floor(level) - first + 1));
}
