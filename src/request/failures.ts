/**
 * Construction of call failures.
 */
import type {CallFailure, UnspentGrant} from '../connection/call_messages.js';
import type {ReportedLoad} from '../protocol/call_result.js';
import type {FailureReason, Outcome} from '../protocol/outcome.js';

/** Parts of a failure that have a default. */
export interface FailureDetails {
  readonly retryAfterMillis?: number | undefined;
  readonly unspent?: UnspentGrant;
  readonly load?: ReportedLoad | undefined;
  readonly isSilent?: boolean;
}

/** Where and why a call failed. */
export interface FailureCause {
  readonly outcome: Outcome;
  readonly reason: FailureReason;
  readonly step: string;
  readonly peer: string;
  readonly message: string;
}

/** Builds a failure of a call. */
export function createCallFailure(
  cause: FailureCause,
  details: FailureDetails = {},
): CallFailure {
  return {
    _tag: 'CallFailure',
    failure: {...cause, retryAfterMillis: details.retryAfterMillis},
    unspent: details.unspent ?? 'all',
    load: details.load,
    isSilent: details.isSilent ?? false,
  };
}
