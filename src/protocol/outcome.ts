/**
 * What is known about the execution of a request that did not end in an answer.
 */

/**
 * - `not-run`: no upstream has executed or will execute it.
 * - `unknown`: an upstream may have executed it.
 * - `ran`: an upstream executed it.
 */
export type Outcome = 'not-run' | 'unknown' | 'ran';

/** Why a request failed; stable identifiers used in answers and counters. */
export type FailureReason =
  | 'malformed-request'
  | 'body-too-large'
  | 'unknown-service'
  | 'unknown-route'
  | 'key-required'
  | 'key-malformed'
  | 'key-conflict'
  | 'key-outcome-unknown'
  | 'key-home-unavailable'
  | 'key-capacity'
  | 'view-unconfirmed'
  | 'version-unknown'
  | 'no-policy'
  | 'shed'
  | 'queue-full'
  | 'queue-timeout'
  | 'draining'
  | 'deadline-exceeded'
  | 'no-host'
  | 'connect-failed'
  | 'connection-lost'
  | 'answer-incomplete'
  | 'answer-too-large'
  | 'attempt-timeout'
  | 'cancelled'
  | 'protocol-mismatch'
  | 'internal-error';

/** A failure as told to a caller or a peer. */
export interface Failure {
  readonly outcome: Outcome;
  readonly reason: FailureReason;
  /** Stage of the work at which it arose. */
  readonly step: string;
  /** Host at which it arose. */
  readonly peer: string;
  /** When the caller should come back; absent where a repeat cannot help. */
  readonly retryAfterMillis?: number | undefined;
  readonly message: string;
}

/**
 * Outcome of several attempts taken together: `ran` over `unknown` over
 * `not-run`, so that ambiguity is never resolved in favour of a repeat.
 */
export function combineOutcomes(a: Outcome, b: Outcome): Outcome {
  if (a === 'ran' || b === 'ran') return 'ran';
  if (a === 'unknown' || b === 'unknown') return 'unknown';
  return 'not-run';
}
