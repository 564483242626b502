/**
 * Remembers the starts of upstreams that have left, and recognizes entries that say
 * nothing new about them.
 *
 * Load pattern: the source is restored from an older copy, which lists upstreams
 * again that have left since. Taken for new ones they would get requests, though
 * this node knew that they had left.
 */
import type {UpstreamEntry} from './upstream_entry.js';
import {compareStarts} from './upstream_start.js';

/** Starts that have left, by id. */
export interface DepartedUpstreams {
  add(entry: UpstreamEntry): void;
  /** There is a later entry under this id. */
  delete(id: string): void;
  has(id: string): boolean;
  /** Whether an entry is no later than what its start had published as it left. */
  isOutdated(entry: UpstreamEntry): boolean;
}

/** Starts remembered; requests for them arrive for seconds only. */
const LEFT_STARTS_COUNT = 256;

/** Creates a memory without starts. */
export function createDepartedUpstreams(): DepartedUpstreams {
  const lastEntries = new Map<string, UpstreamEntry>();
  return {
    add: entry => {
      lastEntries.set(entry.id, entry);
      if (lastEntries.size <= LEFT_STARTS_COUNT) return;
      for (const oldestId of lastEntries.keys()) {
        lastEntries.delete(oldestId);
        return;
      }
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

/** A publisher that does not count its entries publishes nothing new with another. */
function sequenceOf({sequenceNumber}: UpstreamEntry): number {
  return sequenceNumber ?? 0;
}
