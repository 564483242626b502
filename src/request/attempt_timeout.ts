/**
 * Abandons an attempt whose response takes much longer than usual if the request may
 * be sent to another upstream.
 */
import {createCancelSource} from '../base/cancel_signal.js';
import type {CancelCause} from '../protocol/cancel_cause.js';
import type {ExecutionCall, ExecutionResult} from '../connection/execution.js';

/** An attempt with its timeout. */
export interface TimedAttempt {
  readonly call: ExecutionCall;
  /** `undefined`: the attempt runs to its deadline. */
  readonly attemptTimeoutMillis: number | undefined;
  readonly execute: (call: ExecutionCall) => Promise<ExecutionResult>;
  /** Called once, when the timeout expires. */
  readonly mayAbandon: () => boolean;
}

/** Result of an attempt with a timeout. */
export interface TimedAttemptResult {
  readonly result: ExecutionResult;
  /** The attempt timed out; the retry is already charged to the retry budget. */
  readonly isAbandoned: boolean;
}

/** Runs an attempt and cancels it when it times out and may be abandoned. */
export async function runWithAttemptTimeout(
  attempt: TimedAttempt,
): Promise<TimedAttemptResult> {
  const {call, attemptTimeoutMillis} = attempt;
  if (attemptTimeoutMillis === undefined) {
    return {result: await attempt.execute(call), isAbandoned: false};
  }
  const source = createCancelSource<CancelCause>();
  const callerCancel = call.cancel.onCancel(source.cancel);
  let isAbandoned = false;
  const timer = setTimeout(() => {
    if (call.cancel.isCancelled || !attempt.mayAbandon()) return;
    isAbandoned = true;
    source.cancel('timeout');
  }, attemptTimeoutMillis);
  const result = await attempt.execute({...call, cancel: source.signal});
  clearTimeout(timer);
  callerCancel.dispose();
  if (!isAbandoned || result.kind !== 'unknown') return {result, isAbandoned};
  return {result: {...result, reason: 'timeout'}, isAbandoned};
}
