/**
 * Admits requests of a route in proportion to those that complete.
 *
 * Load pattern: requests of a route fail after some of their calls, because a
 * service below rejects calls although it has free slots, or because its
 * overload grows faster than its admission level follows. Each of them costs the
 * services above it their work. Admission levels do not bound this: they follow
 * slots and queues, and the calls that are missing occupy none.
 */
import {BUCKETS_COUNT, bucketOfImportance} from './importance.js';

/** Throttle of one entry node. */
export interface CompletionThrottle {
  /** Whether a request of this importance is admitted; records a rejection. */
  admits(routeName: string, importance: number): boolean;
  /**
   * Records the end of an admitted request, unless it was refused before it ran
   * or failed for a reason of its own.
   */
  recordEnd(routeName: string, isCompleted: boolean): void;
}

/** Time constant of the counts: about the duration of a request with several calls. */
const AVERAGE_MILLIS = 1000;

/**
 * Requests admitted for each one that completes. A route is throttled if fewer
 * than a quarter of its requests complete: above that, what is served is worth
 * the work of what fails.
 */
const ADMITTED_PER_COMPLETED_COUNT = 4;

/** Requests admitted in any case, from which a recovery is detected. */
const MIN_ADMITTED_COUNT = 1;

/** Decaying counts of one route. */
interface RouteCounts {
  /** Requests that completed, failed or were rejected here. */
  endedCount: number;
  completedCount: number;
  decayedMillis: number;
}

/** Creates a throttle that admits every request. */
export function createCompletionThrottle(
  nowMillis: () => number,
): CompletionThrottle {
  const routes = new Map<string, RouteCounts>();

  const countsOf = (routeName: string): RouteCounts => {
    const now = nowMillis();
    const counts = routes.get(routeName);
    if (counts === undefined) {
      const created = {endedCount: 0, completedCount: 0, decayedMillis: now};
      routes.set(routeName, created);
      return created;
    }
    const keptRatio = Math.exp((counts.decayedMillis - now) / AVERAGE_MILLIS);
    counts.endedCount *= keptRatio;
    counts.completedCount *= keptRatio;
    counts.decayedMillis = now;
    return counts;
  };

  return {
    admits: (routeName, importance) => {
      const counts = countsOf(routeName);
      const permittedCount =
        counts.completedCount * ADMITTED_PER_COMPLETED_COUNT +
        MIN_ADMITTED_COUNT;
      const bucketsCount = (BUCKETS_COUNT * permittedCount) / counts.endedCount;
      if (bucketOfImportance(importance) < bucketsCount) return true;
      counts.endedCount += 1;
      return false;
    },
    recordEnd: (routeName, isCompleted) => {
      const counts = countsOf(routeName);
      counts.endedCount += 1;
      if (isCompleted) counts.completedCount += 1;
    },
  };
}
