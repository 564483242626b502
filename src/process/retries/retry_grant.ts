/**
 * Grant of retries that one request may spend across its whole call chain.
 * Retries are moved between hops, never copied, so that their sum never grows.
 */

/** Retries passed on with one attempt; reclaimed or discarded exactly once. */
export interface DelegatedRetries {
  readonly count: number;
  /** Returns the unspent retries of the callee to the grant. */
  reclaim(unspentCount: number): void;
  /** Discards the retries, as no response reported how many are unspent. */
  discard(): void;
}

/** Creates the grant of a request that may cause `count` retries. */
export type RetryGrantFactory = (count: number) => RetryGrant;

/** Retries available to one request on this host, shared by its parallel calls. */
export abstract class RetryGrant {
  abstract remaining(): number;
  /** Takes one retry for an attempt after the first. */
  abstract trySpend(): boolean;
  /** Passes a part of the grant on with an attempt. */
  abstract delegate(): DelegatedRetries;
  /**
   * Ends the grant and returns the remaining retries, which go back to the
   * sender. Calls still in progress for the request get no more of them.
   */
  abstract close(): number;
}
