/**
 * Registry of the requests received from other nodes (hops). A request is
 * identified by its id and not by its connection, so that a sender can resume it
 * after the connection was lost.
 */

import {createExpiringIds} from './expiring_ids.js';

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
   * Records an arrival; returns false if its sender has already abandoned it. The hop is
   * remembered until its sender no longer claims it.
   */
  begin(hopId: string, hop: T, claimableUntilMillis: number): boolean;
  /** Records a response, of which `keptBytes` are kept for a claim. */
  end(hopId: string, keptBytes: number): void;
  claim(hopId: string): HopClaim<T>;
}

/**
 * Time for which a hop that was claimed before its arrival is refused; the connection on
 * which it may still arrive was closed by its sender.
 */
const REFUSED_RETENTION_MILLIS = 30_000;

/** Time for which responses are kept; a lost connection is detected sooner. */
const RESPONSE_RETENTION_MILLIS = 1500;

/** Maximum bytes of responses kept: a few seconds of usual responses. */
const MAX_KEPT_BYTES = 2_097_152;

interface WorkingHop<T> {
  readonly hop: T;
  readonly claimableUntilMillis: number;
}

interface FinishedHop<T> extends WorkingHop<T> {
  readonly keptBytes: number;
  readonly finishedMillis: number;
}

/** Creates an empty registry. */
export function createHopRegistry<T>(nowMillis: () => number): HopRegistry<T> {
  const working = new Map<string, WorkingHop<T>>();
  const finished = new Map<string, FinishedHop<T>>();
  const gone = createExpiringIds(nowMillis);
  const refused = createExpiringIds(nowMillis);
  let keptBytes = 0;

  /** Evicts responses that are expired or exceed the size limit, oldest first. */
  const evictOld = (): void => {
    const cutoff = nowMillis() - RESPONSE_RETENTION_MILLIS;
    for (const [hopId, entry] of finished) {
      if (entry.finishedMillis > cutoff && keptBytes <= MAX_KEPT_BYTES) return;
      finished.delete(hopId);
      keptBytes -= entry.keptBytes;
      gone.add(hopId, entry.claimableUntilMillis);
    }
  };

  return {
    begin: (hopId, hop, claimableUntilMillis) => {
      if (refused.has(hopId)) return false;
      working.set(hopId, {hop, claimableUntilMillis});
      return true;
    },
    end: (hopId, bytes) => {
      const entry = working.get(hopId);
      if (entry === undefined) return;
      working.delete(hopId);
      if (bytes === 0) {
        gone.add(hopId, entry.claimableUntilMillis);
        return;
      }
      keptBytes += bytes;
      const finishedMillis = nowMillis();
      finished.set(hopId, {...entry, keptBytes: bytes, finishedMillis});
      evictOld();
    },
    claim: hopId => {
      const current = working.get(hopId);
      if (current !== undefined) return {state: 'working', hop: current.hop};
      evictOld();
      const entry = finished.get(hopId);
      if (entry !== undefined) return {state: 'finished', hop: entry.hop};
      if (gone.has(hopId)) return {state: 'gone'};
      refused.add(hopId, nowMillis() + REFUSED_RETENTION_MILLIS);
      return {state: 'unknown'};
    },
  };
}
