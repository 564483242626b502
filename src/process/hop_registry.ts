/**
 * Requests of other nodes that this node has received, so that they can ask
 * what became of one whose connection has fallen silent.
 */

/** What a node knows of a hop. */
export type HopState =
  /** It has not arrived, and would be refused now. */
  | 'unknown'
  | 'working'
  /** Its answer has been written. */
  | 'finished';

/** Registry of one node. */
export interface HopRegistry {
  /** Records an arrival; false if its sender has given it up already. */
  begin(hopId: string): boolean;
  end(hopId: string): void;
  /** Tells the state of a hop; one that is unknown is refused from now on. */
  ask(hopId: string): HopState;
}

/**
 * Hops that finished or were given up and are still remembered: senders ask
 * within a second, and a node handles some hundred hops in one.
 */
const REMEMBERED_COUNT = 4096;

/** Creates an empty registry. */
export function createHopRegistry(): HopRegistry {
  const working = new Set<string>();
  const finished = createRecentIds();
  const refused = createRecentIds();
  return {
    begin: hopId => {
      if (refused.has(hopId)) return false;
      working.add(hopId);
      return true;
    },
    end: hopId => {
      if (working.delete(hopId)) finished.add(hopId);
    },
    ask: hopId => {
      if (working.has(hopId)) return 'working';
      if (finished.has(hopId)) return 'finished';
      refused.add(hopId);
      return 'unknown';
    },
  };
}

interface RecentIds {
  has(id: string): boolean;
  add(id: string): void;
}

/** A set that forgets its oldest members. */
function createRecentIds(): RecentIds {
  const ids = new Set<string>();
  return {
    has: id => ids.has(id),
    add: id => {
      ids.add(id);
      if (ids.size <= REMEMBERED_COUNT) return;
      const [oldest] = ids;
      if (oldest !== undefined) ids.delete(oldest);
    },
  };
}
