/**
 * Learns which services a request of each route reaches, directly and through
 * nested calls, and how often.
 *
 * Without it, an entry node could not detect that two routes to different
 * services share a third one that is saturated.
 *
 * A route may lead to several services, by weight or in turn as its
 * configuration changes. Each of them has a tree of its own: a request that goes
 * to one of them does not need the others.
 */
import {evictOldest} from '../../base/evict_oldest.js';

/** Number of calls by service. */
export type CallCounts = ReadonlyMap<string, number>;

/** Route at which a client's request enters, and the service that it is sent to. */
export interface RouteTarget {
  readonly routeName: string;
  readonly service: string;
}

/** Learned call trees by route and service. */
export interface CallTrees {
  /** Records the calls of a request that succeeded. */
  observe(target: RouteTarget, counts: CallCounts): void;
  /**
   * Records the calls of a request that succeeded although the tree required a
   * service without upstreams.
   */
  observeProbe(target: RouteTarget, counts: CallCounts): void;
  /**
   * Records the calls of a request that failed after some of them, as a lower
   * bound. Ignored once a request of the same target has succeeded.
   */
  observeFailed(target: RouteTarget, counts: CallCounts): void;
  /**
   * Mean number of calls of one request by service; empty if none are recorded.
   */
  callCountsOf(target: RouteTarget): CallCounts;
}

/**
 * Weight of one sample in the moving average: about the last thirty requests
 * count.
 */
const SAMPLE_WEIGHT = 0.06;

/**
 * Weight of the sample of a probe. Probes are rare, and a tree that has become
 * wrong rejects all other requests until a few of them have corrected it.
 */
const PROBE_WEIGHT = 0.5;

/** Mean number of calls below which a service is removed from a tree. */
const MIN_MEAN_COUNT = 0.02;

/**
 * Maximum number of trees. The one created first is evicted, and learned again
 * with the next request if its route still exists.
 */
const MAX_TREES_COUNT = 4096;

/** Empty call counts. */
export const NO_CALLS: CallCounts = new Map();

/** Creates call trees without any recorded request. */
export function createCallTrees(): CallTrees {
  const trees = new Map<string, Map<string, number>>();
  const failedTrees = new Map<string, Map<string, number>>();

  const observe = (
    target: RouteTarget,
    counts: CallCounts,
    weight: number,
  ): void => {
    const key = keyOf(target);
    const tree = trees.get(key);
    if (tree === undefined) {
      addTree(trees, key, new Map(counts));
      failedTrees.delete(key);
      return;
    }
    for (const [service, mean] of tree) {
      const sample = counts.get(service) ?? 0;
      const next = mean + (sample - mean) * weight;
      if (next < MIN_MEAN_COUNT) tree.delete(service);
      else tree.set(service, next);
    }
    for (const [service, sample] of counts) {
      if (!tree.has(service)) tree.set(service, sample * weight);
    }
  };

  return {
    observeFailed: (target, counts) => {
      const key = keyOf(target);
      if (trees.has(key)) return;
      const known = failedTrees.get(key);
      const tree = known ?? new Map<string, number>();
      if (known === undefined) addTree(failedTrees, key, tree);
      for (const [service, count] of counts) {
        tree.set(service, Math.max(count, tree.get(service) ?? 0));
      }
    },
    observe: (target, counts) => {
      observe(target, counts, SAMPLE_WEIGHT);
    },
    observeProbe: (target, counts) => {
      observe(target, counts, PROBE_WEIGHT);
    },
    callCountsOf: target => {
      const key = keyOf(target);
      return trees.get(key) ?? failedTrees.get(key) ?? NO_CALLS;
    },
  };
}

/** Key of a target in a map. */
export function keyOf({routeName, service}: RouteTarget): string {
  return `${routeName} ${service}`;
}

function addTree(
  trees: Map<string, Map<string, number>>,
  key: string,
  tree: Map<string, number>,
): void {
  trees.set(key, tree);
  evictOldest(trees, MAX_TREES_COUNT);
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
