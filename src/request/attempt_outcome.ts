/**
 * What the result of an attempt means for further attempts and for placement.
 */
import type {ExecutionResult} from '../connection/execution.js';
import type {AttemptOutcome} from '../process/placement/upstream_stats.js';
import type {OfferOutcome} from '../process/retries/attempt_history.js';
import type {HopReason} from '../protocol/hop_messages.js';

/** The node of the upstream did not reply, and the request may have run. */
export function isSilent(result: ExecutionResult): boolean {
  return result.kind === 'unknown' && result.reason === 'silent';
}

/** Outcome for the history of the request. */
export function offerOutcomeOf(result: ExecutionResult): OfferOutcome {
  if (result.kind !== 'refused') return 'ran';
  switch (result.reason) {
    case 'not-executed':
      return 'rejected';
    case 'queue-full':
    case 'rate-limited':
    case 'too-late':
      return 'full';
    default:
      return 'refused';
  }
}

/** Reason of a result, for the log. */
export function reasonOf(result: ExecutionResult): HopReason {
  return result.kind === 'answered' ? 'none' : result.reason;
}

/** Outcome for the statistics of the upstream. */
export function attemptOutcomeOf(result: ExecutionResult): AttemptOutcome {
  if (result.kind === 'answered') {
    if (result.answer.statusCode < 500) return 'served';
    return result.hasFailedCall ? 'neutral' : 'failed';
  }
  switch (result.reason) {
    case 'draining':
    case 'leaving':
    case 'other-upstream':
    case 'misdirected':
    case 'unreachable':
    case 'upstream-crashed':
    case 'silent':
    case 'upstream-lost':
      return 'unreachable';
    case 'not-executed':
    case 'broken-answer':
    case 'connection-lost':
      return 'failed';
    case 'timeout':
      return result.kind === 'unknown' ? 'failed' : 'neutral';
    default:
      return 'neutral';
  }
}
