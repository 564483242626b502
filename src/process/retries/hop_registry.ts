/**
 * Registry of the requests received from other nodes (hops). A request is
 * identified by its id and not by its connection, so that a sender can resume it
 * after the connection was lost.
 */

/** Result of a claim, which a sender makes to resume a hop. */
export type HopClaim<T> =
  /** The hop has not arrived, and will be refused if it arrives later. */
  | {readonly state: 'unknown'}
  | {readonly state: 'working' | 'finished'; readonly hop: T}
  /** The hop was answered; its response was not retained or has been evicted. */
  | {readonly state: 'gone'};

/** Hops that one node has received. */
export interface HopRegistry<T> {
  /**
   * Records an arrival; returns false if its sender has already abandoned it.
   */
  begin(hopId: string, hop: T): boolean;
  /** Records a response, of which `keptBytes` are kept for a claim. */
  end(hopId: string, keptBytes: number): void;
  claim(hopId: string): HopClaim<T>;
}

/**
 * Maximum ids remembered of answered and of abandoned hops: senders make claims
 * within a second, in which a node handles a few hundred hops.
 */
const MAX_REMEMBERED_IDS_COUNT = 4096;

/** Time for which responses are kept; a lost connection is detected sooner. */
const RESPONSE_RETENTION_MILLIS = 1500;

/** Maximum bytes of responses kept: a few seconds of usual responses. */
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

  /** Evicts responses that are expired or exceed the size limit, oldest first. */
  const evictOld = (): void => {
    const cutoff = nowMillis() - RESPONSE_RETENTION_MILLIS;
    for (const [hopId, entry] of finished) {
      if (entry.finishedMillis > cutoff && keptBytes <= MAX_KEPT_BYTES) return;
      finished.delete(hopId);
      keptBytes -= entry.keptBytes;
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
      evictOld();
    },
    claim: hopId => {
      const hop = working.get(hopId);
      if (hop !== undefined) return {state: 'working', hop};
      evictOld();
      const entry = finished.get(hopId);
      if (entry !== undefined) return {state: 'finished', hop: entry.hop};
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

/** Creates a bounded set of ids that evicts the oldest ones. */
function createRecentIds(): RecentIds {
  const ids = new Set<string>();
  return {
    has: id => ids.has(id),
    add: id => {
      ids.add(id);
      if (ids.size <= MAX_REMEMBERED_IDS_COUNT) return;
      const [oldest] = ids;
      if (oldest !== undefined) ids.delete(oldest);
    },
  };
}
