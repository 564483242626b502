/**
 * Determines whether this node watches the source of documents itself, or which
 * other node it polls for changes.
 *
 * Load pattern: every change of every entry ends the watches of all nodes, and
 * each of them polls again: calls to the source grow with the fleet, although
 * all of them return the same changes. So one node of each availability zone
 * watches the source and the others poll that node. Each node selects
 * independently: a disagreement only costs one additional watch. A partitioned
 * zone has its own watcher, and a node that gets no response watches the source
 * itself.
 */
import {fnvHash} from '../../base/fnv_hash.js';
import type {KnownUpstream} from './known_upstream.js';
import type {UpstreamEntry} from './upstream_entry.js';

/** Next step of this node. */
export type WatchDecision =
  | {readonly kind: 'watch'}
  | {readonly kind: 'ask'; readonly entry: UpstreamEntry};

/** Selection made by one node. */
export interface WatcherSelection {
  /**
   * Selects the next step. `isSourceLost`: this node cannot watch, even if
   * selected.
   */
  decide(isSourceLost: boolean): WatchDecision;
  /**
   * Records that a polled node did not respond, or does not watch the source.
   */
  recordFailure(entry: UpstreamEntry): void;
  recordSuccess(): void;
}

export interface WatcherSelectionOptions {
  /** Returns the latest upstream of each host. */
  readonly hosts: () => Iterable<KnownUpstream>;
  readonly ownHostKey: string;
  readonly zone: string;
  readonly nowMillis: () => number;
}

/** Time for which a node that failed is not selected. */
const FAILURE_COOLDOWN_MILLIS = 5000;

/**
 * Consecutive failures after which this node watches the source itself, for
 * `FAILURE_COOLDOWN_MILLIS`.
 */
const MAX_FAILURES_COUNT = 2;

/** Creates a selection without failures. */
export function createWatcherSelection(
  options: WatcherSelectionOptions,
): WatcherSelection {
  const {hosts, ownHostKey, zone, nowMillis} = options;
  const failedUntilMillis = new Map<string, number>();
  let failuresCount = 0;
  let watchUntilMillis = 0;

  const hasRecentFailure = ({hostKey}: UpstreamEntry): boolean => {
    const untilMillis = failedUntilMillis.get(hostKey);
    if (untilMillis === undefined) return false;
    if (nowMillis() < untilMillis) return true;
    failedUntilMillis.delete(hostKey);
    return false;
  };

  /**
   * Returns the first host of the zone, in an order that is the same on all
   * nodes.
   */
  const findFirstOfZone = (
    isOwnHostExcluded: boolean,
  ): UpstreamEntry | undefined => {
    let first: UpstreamEntry | undefined;
    let firstRank = Infinity;
    for (const {entry} of hosts()) {
      if (entry.zone !== zone || entry.isDraining) continue;
      if (isOwnHostExcluded && entry.hostKey === ownHostKey) continue;
      if (hasRecentFailure(entry)) continue;
      const rank = fnvHash(entry.hostKey);
      if (rank >= firstRank) continue;
      first = entry;
      firstRank = rank;
    }
    return first;
  };

  return {
    decide: isSourceLost => {
      if (nowMillis() < watchUntilMillis && !isSourceLost) {
        return {kind: 'watch'};
      }
      const entry = findFirstOfZone(isSourceLost);
      if (entry === undefined || entry.hostKey === ownHostKey) {
        return {kind: 'watch'};
      }
      return {kind: 'ask', entry};
    },
    recordFailure: ({hostKey}) => {
      const now = nowMillis();
      failedUntilMillis.set(hostKey, now + FAILURE_COOLDOWN_MILLIS);
      failuresCount += 1;
      if (failuresCount < MAX_FAILURES_COUNT) return;
      failuresCount = 0;
      watchUntilMillis = now + FAILURE_COOLDOWN_MILLIS;
    },
    recordSuccess: () => {
      failuresCount = 0;
    },
  };
}
