/**
 * Records the last entries of upstreams that have left, and detects outdated
 * entries of these upstreams.
 *
 * Load pattern: the source is restored from an older copy, which lists
 * upstreams that have left since. Treated as new ones they would get requests,
 * although this node had recorded that they left.
 */
import {evictOldest} from '../../base/evict_oldest.js';
import type {UpstreamEntry} from './upstream_entry.js';
import {compareStarts} from './upstream_start.js';

/** Upstreams that have left, by id. */
export interface DepartedUpstreams {
  add(entry: UpstreamEntry): void;
  /** Removes an id for which there is a later entry. */
  delete(id: string): void;
  has(id: string): boolean;
  /**
   * Returns whether an entry is no newer than the last one before its start
   * left.
   */
  isOutdated(entry: UpstreamEntry): boolean;
}

/**
 * Maximum upstreams recorded; requests for them arrive for a few seconds only.
 */
const MAX_DEPARTED_COUNT = 256;

/** Creates an empty record. */
export function createDepartedUpstreams(): DepartedUpstreams {
  const lastEntries = new Map<string, UpstreamEntry>();
  return {
    add: entry => {
      lastEntries.set(entry.id, entry);
      evictOldest(lastEntries, MAX_DEPARTED_COUNT);
    },
    delete: id => {
      lastEntries.delete(id);
    },
    has: id => lastEntries.has(id),
    isOutdated: entry => {
      const last = lastEntries.get(entry.id);
      if (last === undefined) return false;
      switch (compareStarts(entry, last)) {
        case 'earlier':
          return true;
        case 'same':
          return sequenceOf(entry) <= sequenceOf(last);
        default:
          return false;
      }
    },
  };
}

/** Without sequence numbers, no entry of a start is newer than another. */
function sequenceOf({sequenceNumber}: UpstreamEntry): number {
  return sequenceNumber ?? 0;
}
