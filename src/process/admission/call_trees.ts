/**
 * Learns which services a request of each route reaches, directly and through
 * nested calls, and how often.
 *
 * Without it, an entry node could not detect that two routes to different
 * services share a third one that is saturated.
 */

/** Number of calls by service. */
export type CallCounts = ReadonlyMap<string, number>;

/** Learned call trees by the route at which a client's request entered. */
export interface CallTrees {
  /** Records the calls of a request that succeeded. */
  observe(routeName: string, counts: CallCounts): void;
  /**
   * Records the calls of a request that failed after some of them, as a lower
   * bound. Ignored once a request of the route has succeeded.
   */
  observeFailed(routeName: string, counts: CallCounts): void;
  /**
   * Mean number of calls of one request by service; empty if none are recorded.
   */
  callCountsOf(routeName: string): CallCounts;
}

/**
 * Weight of one sample in the moving average: about the last thirty requests
 * count.
 */
const SAMPLE_WEIGHT = 0.06;

/** Mean number of calls below which a service is removed from a tree. */
const MIN_MEAN_COUNT = 0.02;

/** Empty call counts. */
export const NO_CALLS: CallCounts = new Map();

/** Creates call trees without any recorded request. */
export function createCallTrees(): CallTrees {
  const trees = new Map<string, Map<string, number>>();
  const failedTrees = new Map<string, Map<string, number>>();
  return {
    observeFailed: (routeName, counts) => {
      if (trees.has(routeName)) return;
      const tree = failedTrees.get(routeName) ?? new Map<string, number>();
      failedTrees.set(routeName, tree);
      for (const [service, count] of counts) {
        tree.set(service, Math.max(count, tree.get(service) ?? 0));
      }
    },
    observe: (routeName, counts) => {
      const tree = trees.get(routeName);
      if (tree === undefined) {
        trees.set(routeName, new Map(counts));
        failedTrees.delete(routeName);
        return;
      }
      for (const [service, mean] of tree) {
        const sample = counts.get(service) ?? 0;
        const next = mean + (sample - mean) * SAMPLE_WEIGHT;
        if (next < MIN_MEAN_COUNT) tree.delete(service);
        else tree.set(service, next);
      }
      for (const [service, sample] of counts) {
        if (!tree.has(service)) tree.set(service, sample * SAMPLE_WEIGHT);
      }
    },
    callCountsOf: routeName =>
      trees.get(routeName) ?? failedTrees.get(routeName) ?? NO_CALLS,
  };
}

/**
 * Calls caused by one more attempt at a service: the attempt itself and the
 * calls below it.
 */
export function attemptCallCounts(
  tree: CallCounts,
  service: string,
): CallCounts {
  const counts = new Map(tree);
  counts.set(service, Math.max(1, counts.get(service) ?? 0));
  return counts;
}

/** Calls of a tree without the request at its root. */
export function downstreamCallCounts(
  tree: CallCounts,
  service: string,
): CallCounts {
  const counts = new Map(tree);
  counts.set(service, Math.max(0, (counts.get(service) ?? 1) - 1));
  return counts;
}
