/**
 * Admits single requests that are rejected because a service below them has no
 * upstream, to detect that they no longer call it.
 *
 * Load pattern: a release of an upstream or a new configuration ends the calls to
 * a service whose last upstream is lost. The call tree still requires it, and only
 * requests that are admitted correct the tree: without probes, none ever is.
 */
import {evictOldest} from '../../base/evict_oldest.js';
import type {RouteTarget} from './call_trees.js';
import {keyOf} from './call_trees.js';

/** Probes of one entry node. */
export interface CallTreeProbes {
  /** Whether a request that is about to be rejected may be admitted as a probe. */
  tryProbe(target: RouteTarget): boolean;
}

/**
 * Interval between the probes of a route. Each one that fails costs the services
 * above the missing one their work; three that succeed admit the route again.
 */
const PROBE_INTERVAL_MILLIS = 4000;

/** Maximum number of recorded targets; the one that was added first is evicted. */
const MAX_TARGETS_COUNT = 1024;

/** Creates probes; the first one of a route is due at once. */
export function createCallTreeProbes(nowMillis: () => number): CallTreeProbes {
  const lastProbesMillis = new Map<string, number>();
  return {
    tryProbe: target => {
      const key = keyOf(target);
      const now = nowMillis();
      const lastMillis = lastProbesMillis.get(key) ?? -Infinity;
      if (now - lastMillis < PROBE_INTERVAL_MILLIS) return false;
      lastProbesMillis.set(key, now);
      evictOldest(lastProbesMillis, MAX_TARGETS_COUNT);
      return true;
    },
  };
}
