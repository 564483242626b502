/**
 * Executor's memory of idempotency keys.
 */
import type * as Effect from 'effect/Effect';

/** An answer kept for repeats. */
export interface KeptAnswer {
  readonly statusCode: number;
  readonly headers: readonly (readonly [name: string, value: string])[];
  readonly body: Uint8Array;
}

/** How the execution for a key ended. */
export type KeyResult =
  /** Ran; the answer is kept unless it was too large. */
  | {readonly kind: 'ran'; readonly answer: KeptAnswer | undefined}
  /** May have run. */
  | {readonly kind: 'unknown'}
  /** Certainly did not run; the key is free again. */
  | {readonly kind: 'not-run'};

/** A request that carries a key, at its executor. */
export interface KeyRequest {
  readonly key: string;
  /** SHA-256 of method, route and body. */
  readonly fingerprint: Uint8Array;
}

/** What the executor must do with a keyed request. */
export type KeyDecision =
  /** First sight: execute, then call `finish` exactly once. */
  | {readonly kind: 'run'; finish(result: KeyResult): void}
  /** Being executed for an earlier request: wait for its result. */
  | {readonly kind: 'join'; readonly result: Effect.Effect<KeyResult>}
  /** Executed before. */
  | {readonly kind: 'replay'; readonly answer: KeptAnswer}
  /** Executed before, or by an earlier executor; the answer is not known. */
  | {readonly kind: 'unknown'}
  /** Same key, other request. */
  | {readonly kind: 'conflict'}
  /** This host may not execute the key now; certainly not run here. */
  | {
      readonly kind: 'refuse';
      readonly reason:
        | 'key-home-unavailable'
        | 'view-unconfirmed'
        | 'key-capacity'
        | 'key-malformed'
        | 'draining';
      readonly retryAfterMillis: number;
    };

/** Decides, for each keyed request, whether it may run here. */
export abstract class KeyRecords {
  abstract begin(request: KeyRequest): KeyDecision;
}

/** Names the one host that may execute a key. */
export abstract class KeyDirectory {
  /** Home of a key among the service's published hosts; undefined if none. */
  abstract homeOf(key: string, service: string): string | undefined;
}
