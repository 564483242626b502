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
  | {readonly state: 'working'; readonly hop: T}
  | {readonly state: 'finished'; readonly response: Buffer}
  /** The hop was answered; its response was not retained or has been evicted. */
  | {readonly state: 'gone'};

/** Hops that one node has received. */
export interface HopRegistry<T> {
  /**
   * Records an arrival; returns false if its sender has already abandoned it. The hop is
   * remembered until its sender no longer claims it.
   */
  begin(hopId: string, hop: T, claimableUntilMillis: number): boolean;
  /**
   * Records the end of a hop and releases it. Its response is kept for a claim, by
   * default for `RESPONSE_RETENTION_MILLIS`, unless there is none to send again.
   */
  end(hopId: string, response?: Buffer, keptMillis?: number): void;
  claim(hopId: string): HopClaim<T>;
}

/**
 * Time for which a hop that was claimed before its arrival is refused; the connection on
 * which it may still arrive was closed by its sender.
 */
const REFUSED_RETENTION_MILLIS = 30_000;

/** Time for which responses are kept; most lost connections are replaced sooner. */
const RESPONSE_RETENTION_MILLIS = 1500;

/** Maximum bytes of responses kept: a few seconds of usual responses. */
const MAX_KEPT_BYTES = 2_097_152;

interface WorkingHop<T> {
  readonly hop: T;
  readonly claimableUntilMillis: number;
}

/** Without the hop, which holds the request and would outlive it by this time. */
interface KeptResponse {
  readonly response: Buffer;
  readonly claimableUntilMillis: number;
  readonly keptUntilMillis: number;
}

/** Creates an empty registry. */
export function createHopRegistry<T>(nowMillis: () => number): HopRegistry<T> {
  const working = new Map<string, WorkingHop<T>>();
  const finished = new Map<string, KeptResponse>();
  /** Kept for longer; separate, so that each map is in the order of expiry. */
  const keptLonger = new Map<string, KeptResponse>();
  const gone = createExpiringIds(nowMillis);
  const refused = createExpiringIds(nowMillis);
  let keptBytes = 0;

  /** Evicts responses that are expired or exceed the size limit, oldest first. */
  const evictOld = (): void => {
    const now = nowMillis();
    for (const entries of [finished, keptLonger]) {
      for (const [hopId, entry] of entries) {
        if (entry.keptUntilMillis > now && keptBytes <= MAX_KEPT_BYTES) break;
        entries.delete(hopId);
        keptBytes -= entry.response.length;
        gone.add(hopId, entry.claimableUntilMillis);
      }
    }
  };

  return {
    begin: (hopId, hop, claimableUntilMillis) => {
      if (refused.has(hopId)) return false;
      working.set(hopId, {hop, claimableUntilMillis});
      return true;
    },
    end: (hopId, response, keptMillis = RESPONSE_RETENTION_MILLIS) => {
      const entry = working.get(hopId);
      if (entry === undefined) return;
      working.delete(hopId);
      const {claimableUntilMillis} = entry;
      if (response === undefined) {
        gone.add(hopId, claimableUntilMillis);
        return;
      }
      keptBytes += response.length;
      const keptUntilMillis = nowMillis() + keptMillis;
      const isKeptLonger = keptMillis > RESPONSE_RETENTION_MILLIS;
      const entries = isKeptLonger ? keptLonger : finished;
      entries.set(hopId, {response, claimableUntilMillis, keptUntilMillis});
      evictOld();
    },
    claim: hopId => {
      const current = working.get(hopId);
      if (current !== undefined) return {state: 'working', hop: current.hop};
      evictOld();
      const entry = finished.get(hopId) ?? keptLonger.get(hopId);
      if (entry !== undefined) {
        return {state: 'finished', response: entry.response};
      }
      if (gone.has(hopId)) return {state: 'gone'};
      refused.add(hopId, nowMillis() + REFUSED_RETENTION_MILLIS);
      return {state: 'unknown'};
    },
  };
}
