/**
 * What the end of an attempt means for routing and for a retry.
 */
import type {CallAnswer, CallFailure} from '../connection/call_messages.js';
import type {AttemptVerdict} from '../process/host_selector.js';
import type {FailureReason} from '../protocol/outcome.js';
import type {OutboundCall} from './request_scope.js';

const FIRST_SERVER_ERROR = 500;

/** Reasons after which another attempt may succeed. */
const TRANSIENT: ReadonlySet<FailureReason> = new Set([
  'shed',
  'queue-full',
  'queue-timeout',
  'draining',
  'version-unknown',
  'connect-failed',
  'connection-lost',
  'answer-incomplete',
  'attempt-timeout',
]);

/** Reasons that leave open whether the executor has the key's answer. */
const LOST_ON_THE_WAY: ReadonlySet<FailureReason> = new Set([
  'connect-failed',
  'connection-lost',
  'answer-incomplete',
  'attempt-timeout',
]);

/** Whether another attempt is allowed and worthwhile, bounds apart. */
export function isRetryable(failure: CallFailure, call: OutboundCall): boolean {
  const {reason, outcome} = failure.failure;
  // A repeat at the same home finds the key's record there, so it cannot run
  // twice; elsewhere it could. A home that refused would refuse again.
  if (call.key !== undefined) {
    return LOST_ON_THE_WAY.has(reason) && !isFromUpstream(failure);
  }
  if (!TRANSIENT.has(reason)) return false;
  return outcome === 'not-run' || !call.isRepeatBanned;
}

/** Whether the upstream's own connection failed, as its node reported. */
function isFromUpstream(failure: CallFailure): boolean {
  return failure.failure.step.startsWith('upstream');
}

/** Whether an answer tells that the call failed. */
export function isFailedAnswer(answer: CallAnswer): boolean {
  return answer.statusCode >= FIRST_SERVER_ERROR;
}

/** Verdict on a host that answered. */
export function answerVerdict(answer: CallAnswer): AttemptVerdict {
  const isOwnFault = isFailedAnswer(answer) && !answer.isDependencyFailed;
  return isOwnFault ? 'failed' : 'success';
}

/** Reasons that state that a service has no room for the call. */
const OVERLOAD: ReadonlySet<FailureReason> = new Set([
  'shed',
  'queue-full',
  'queue-timeout',
]);

/** Whether the call failed because a service refused it for its load. */
export function isRefusedByLoad(failure: CallFailure): boolean {
  return OVERLOAD.has(failure.failure.reason);
}

/** Verdict on a host that did not. */
export function failureVerdict(failure: CallFailure): AttemptVerdict {
  if (failure.isSilent) return 'silent';
  const {reason} = failure.failure;
  if (LOST_ON_THE_WAY.has(reason)) return 'failed';
  if (reason === 'protocol-mismatch') return 'failed';
  return 'refused';
}
