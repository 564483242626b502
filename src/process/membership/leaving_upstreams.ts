/**
 * Records the upstreams that have announced that they are leaving.
 *
 * Load pattern: an upstream leaves without a published entry, or while the
 * source is unavailable, or its entry expires and reappears. Each of these must
 * not bring it back into use, so the record is kept apart from the entries.
 */
import {evictOldest} from '../../base/evict_oldest.js';

/** Upstreams that are leaving, by id. */
export interface LeavingUpstreams {
  /** Returns whether the id was not recorded before. */
  add(id: string): boolean;
  has(id: string): boolean;
  /** Removes an id, because the upstream has started again under it. */
  delete(id: string): void;
}

/**
 * Maximum upstreams recorded. The oldest ones have exited by then: an upstream
 * exits within seconds after it has announced that it is leaving.
 */
const MAX_LEAVING_COUNT = 1024;

/** Creates an empty record. */
export function createLeavingUpstreams(): LeavingUpstreams {
  const ids = new Set<string>();
  return {
    add: id => {
      if (ids.has(id)) return false;
      ids.add(id);
      evictOldest(ids, MAX_LEAVING_COUNT);
      return true;
    },
    has: id => ids.has(id),
    delete: id => {
      ids.delete(id);
    },
  };
}
