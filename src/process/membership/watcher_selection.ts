/**
 * Determines whether this node watches the source of documents itself, or which
 * other node it polls for changes.
 *
 * Load pattern: every change of every entry ends the watches of all nodes, and
 * each of them polls again: calls to the source grow with the fleet, although
 * all of them return the same changes. So one node of the fleet watches the
 * source, one node of each other availability zone polls it, and the others
 * poll the node of their zone. Each node selects independently: a disagreement
 * only costs additional calls. A partitioned zone has its own watcher, and a
 * node that gets no response watches the source itself.
 */
import {fnvHash} from '../../base/fnv_hash.js';
import type {KnownUpstream} from './known_upstream.js';
import type {UpstreamEntry} from './upstream_entry.js';

/** Next step of this node. */
export type WatchDecision =
  | {readonly kind: 'watch'}
  | {
      readonly kind: 'ask';
      readonly entry: UpstreamEntry;
      /** The other nodes of this zone poll this node. */
      readonly isRelaying: boolean;
    };

/** Selection made by one node. */
export interface WatcherSelection {
  /**
   * Selects the next step. `isSourceLost`: this node cannot watch, even if
   * selected.
   */
  decide(isSourceLost: boolean): WatchDecision;
  /**
   * Records that a polled node did not respond, or has lost the source.
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
   * Returns the first host of a zone, or of all zones, in an order that is the
   * same on all nodes.
   */
  const findFirst = (
    zoneName: string | undefined,
    isOwnHostExcluded: boolean,
  ): UpstreamEntry | undefined => {
    let first: UpstreamEntry | undefined;
    let firstRank = Infinity;
    for (const {entry} of hosts()) {
      if (zoneName !== undefined && entry.zone !== zoneName) continue;
      if (entry.isDraining) continue;
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
      const zoneRelay = findFirst(zone, false);
      if (zoneRelay !== undefined && zoneRelay.hostKey !== ownHostKey) {
        return {kind: 'ask', entry: zoneRelay, isRelaying: false};
      }
      const watcher = findFirst(undefined, isSourceLost);
      if (watcher === undefined || watcher.hostKey === ownHostKey) {
        return {kind: 'watch'};
      }
      return {kind: 'ask', entry: watcher, isRelaying: true};
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
