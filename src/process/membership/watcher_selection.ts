/**
 * Decides whether this node watches the source of documents itself, or which other
 * node it polls for changes.
 *
 * Load pattern: every change of every entry ends the watches of all nodes, and each of
 * them polls again: calls to the source grow with the fleet, though all of them bring
 * the same changes. So one node of each availability zone watches and the others poll
 * it. Each node selects for itself: two opinions only cost one watch more. A zone that
 * is cut off has its own watcher, and a node that gets no answer watches itself.
 */
import {fnvHash} from '../../base/fnv_hash.js';
import type {KnownUpstream} from './known_upstream.js';
import type {UpstreamEntry} from './upstream_entry.js';

/** What this node does next. */
export type WatchDecision =
  | {readonly kind: 'watch'}
  | {readonly kind: 'ask'; readonly entry: UpstreamEntry};

/** Selection of one node. */
export interface WatcherSelection {
  /** `isSourceLost`: this node cannot watch, whoever should. */
  decide(isSourceLost: boolean): WatchDecision;
  /** A polled node did not answer, or does not watch itself. */
  recordFailure(entry: UpstreamEntry): void;
  recordSuccess(): void;
}

/** What a selection needs. */
export interface WatcherSelectionOptions {
  /** The latest upstream of each host. */
  readonly hosts: () => Iterable<KnownUpstream>;
  readonly ownHostKey: string;
  readonly zone: string;
  readonly nowMillis: () => number;
}

/** Time for which a node that failed is passed over. */
const FAILED_MILLIS = 5000;

/** Failures in a row after which a node watches itself, for that time. */
const FAILURES_COUNT = 2;

/** Creates the selection of a node that knows of no failure. */
export function createWatcherSelection(
  options: WatcherSelectionOptions,
): WatcherSelection {
  const {hosts, ownHostKey, zone, nowMillis} = options;
  const failedUntilMillis = new Map<string, number>();
  let failuresCount = 0;
  let onOwnUntilMillis = 0;

  const isFailing = ({hostKey}: UpstreamEntry): boolean => {
    const untilMillis = failedUntilMillis.get(hostKey);
    if (untilMillis === undefined) return false;
    if (nowMillis() < untilMillis) return true;
    failedUntilMillis.delete(hostKey);
    return false;
  };

  /** The first host of the zone in an order that is the same at all nodes. */
  const firstOfZone = (isOwnLeftOut: boolean): UpstreamEntry | undefined => {
    let first: UpstreamEntry | undefined;
    let firstRank = Infinity;
    for (const {entry} of hosts()) {
      if (entry.zone !== zone || entry.isDraining) continue;
      if (isOwnLeftOut && entry.hostKey === ownHostKey) continue;
      if (isFailing(entry)) continue;
      const rank = fnvHash(entry.hostKey);
      if (rank >= firstRank) continue;
      first = entry;
      firstRank = rank;
    }
    return first;
  };

  return {
    decide: isSourceLost => {
      if (nowMillis() < onOwnUntilMillis && !isSourceLost) {
        return {kind: 'watch'};
      }
      const entry = firstOfZone(isSourceLost);
      if (entry === undefined || entry.hostKey === ownHostKey) {
        return {kind: 'watch'};
      }
      return {kind: 'ask', entry};
    },
    recordFailure: ({hostKey}) => {
      const now = nowMillis();
      failedUntilMillis.set(hostKey, now + FAILED_MILLIS);
      failuresCount += 1;
      if (failuresCount < FAILURES_COUNT) return;
      failuresCount = 0;
      onOwnUntilMillis = now + FAILED_MILLIS;
    },
    recordSuccess: () => {
      failuresCount = 0;
    },
  };
}
