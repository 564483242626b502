/**
 * Conserved grant of retries: what one request may spend over its whole chain.
 */

/** Retries lent to one attempt; settled exactly once. */
export interface DelegatedRetries {
  readonly count: number;
  /** Returns what the callee left unspent. */
  reclaim(unspentCount: number): void;
  /** Writes the loan off because no answer reported what is left. */
  discard(): void;
}

/** Creates the grant of a request that may cause `count` retries. */
export type RetryGrantFactory = (count: number) => RetryGrant;

/** Retries available to one request on this host, shared by its parallel calls. */
export abstract class RetryGrant {
  abstract remaining(): number;
  /** Takes one retry for an attempt beyond the first. */
  abstract trySpend(): boolean;
  /** Lends a part of the grant to an attempt. */
  abstract delegate(): DelegatedRetries;
  /**
   * Ends the grant and returns what remains, to be given back. Calls that are
   * still being made for the request get nothing more from it.
   */
  abstract close(): number;
}
