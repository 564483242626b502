/**
 * Requests of other nodes that this node has received, so that a sender can go
 * on with one whose connection was lost: a request belongs to its id, not to
 * its connection.
 */

/** Answer to a sender that claims a hop. */
export type HopClaim<T> =
  /** It has not arrived, and will be refused from now on. */
  | {readonly state: 'unknown'}
  | {readonly state: 'working' | 'finished'; readonly hop: T}
  /** It was answered, and the answer is not kept any more. */
  | {readonly state: 'gone'};

/** Registry of one node. */
export interface HopRegistry<T> {
  /** Records an arrival; false if its sender has given it up already. */
  begin(hopId: string, hop: T): boolean;
  /** Records an answer, of which so many bytes are kept for a sender that asks. */
  end(hopId: string, keptBytes: number): void;
  claim(hopId: string): HopClaim<T>;
}

/**
 * Hops that were answered or given up and whose ids are still remembered:
 * senders ask within a second, and a node handles some hundred hops in one.
 */
const REMEMBERED_COUNT = 4096;

/** Time for which answers are kept: a lost connection is noticed in less. */
const KEPT_MILLIS = 1500;

/** Bytes of answers that are kept; a few seconds of usual answers. */
const MAX_KEPT_BYTES = 2_097_152;

interface FinishedHop<T> {
  readonly hop: T;
  readonly keptBytes: number;
  readonly finishedMillis: number;
}

/** Creates an empty registry. */
export function createHopRegistry<T>(nowMillis: () => number): HopRegistry<T> {
  const working = new Map<string, T>();
  const finished = new Map<string, FinishedHop<T>>();
  const gone = createRecentIds();
  const refused = createRecentIds();
  let keptBytes = 0;

  /** The oldest stand first. */
  const forgetOld = (): void => {
    const since = nowMillis() - KEPT_MILLIS;
    for (const [hopId, kept] of finished) {
      if (kept.finishedMillis > since && keptBytes <= MAX_KEPT_BYTES) return;
      finished.delete(hopId);
      keptBytes -= kept.keptBytes;
      gone.add(hopId);
    }
  };

  return {
    begin: (hopId, hop) => {
      if (refused.has(hopId)) return false;
      working.set(hopId, hop);
      return true;
    },
    end: (hopId, bytes) => {
      const hop = working.get(hopId);
      if (hop === undefined) return;
      working.delete(hopId);
      if (bytes === 0) {
        gone.add(hopId);
        return;
      }
      keptBytes += bytes;
      const finishedMillis = nowMillis();
      finished.set(hopId, {hop, keptBytes: bytes, finishedMillis});
      forgetOld();
    },
    claim: hopId => {
      const hop = working.get(hopId);
      if (hop !== undefined) return {state: 'working', hop};
      forgetOld();
      const kept = finished.get(hopId);
      if (kept !== undefined) return {state: 'finished', hop: kept.hop};
      if (gone.has(hopId)) return {state: 'gone'};
      refused.add(hopId);
      return {state: 'unknown'};
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
