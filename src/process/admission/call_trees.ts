/**
 * Learns which services a request of each route reaches, itself and through
 * the calls made for it, and how often.
 *
 * Without it an entry could not know that two routes to different services
 * meet in a third one that is saturated.
 */

/** Calls for each service. */
export type CallCounts = ReadonlyMap<string, number>;

/** Learned trees of calls, by the route at which a client's request entered. */
export interface CallTrees {
  /** Learns from a request that was answered with success. */
  observe(routeName: string, counts: CallCounts): void;
  /**
   * Learns from a request that failed after some of its calls, as long as none
   * has succeeded: what it reached at least.
   */
  observeFailed(routeName: string, counts: CallCounts): void;
  /** Mean calls of one request for each service; empty if not known. */
  callCountsOf(routeName: string): CallCounts;
}

/** Weight of one new sample: about the last thirty requests count. */
const SAMPLE_WEIGHT = 0.06;

/** Mean calls below which a service no longer belongs to a tree. */
const FORGET_COUNT = 0.02;

/** No calls at all. */
export const NO_CALLS: CallCounts = new Map();

/** Creates trees that know nothing. */
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
        if (next < FORGET_COUNT) tree.delete(service);
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

/** What one more attempt at a service causes: itself, and the calls below it. */
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
