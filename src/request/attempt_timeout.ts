/**
 * Abandons an attempt whose response takes much longer than usual, or whose upstream may
 * have ended, if the request may be sent to another upstream.
 */
import {createCancelSource} from '../base/cancel_signal.js';
import type {CancelCause} from '../protocol/cancel_cause.js';
import type {ExecutionCall, ExecutionResult} from '../connection/execution.js';

/** An attempt with its timeout. */
export interface TimedAttempt {
  readonly call: ExecutionCall;
  /** `undefined`: no usual time is known yet. */
  readonly attemptTimeoutMillis: number | undefined;
  readonly execute: (call: ExecutionCall) => Promise<ExecutionResult>;
  /** Called when the timeout expires, and when the upstream may have ended. */
  readonly mayAbandon: () => boolean;
}

/** Result of an attempt with a timeout. */
export interface TimedAttemptResult {
  readonly result: ExecutionResult;
  /** The retry that replaces the attempt is already charged to the retry budget. */
  readonly isAbandoned: boolean;
}

/** Runs an attempt and cancels it when it times out and may be abandoned. */
export async function runWithAttemptTimeout(
  attempt: TimedAttempt,
): Promise<TimedAttemptResult> {
  const {call, attemptTimeoutMillis} = attempt;
  if (!call.isRepeatable) {
    return {result: await attempt.execute(call), isAbandoned: false};
  }
  const source = createCancelSource<CancelCause>();
  const callerCancel = call.cancel.onCancel(source.cancel);
  let abandonCause: CancelCause | undefined;
  const abandon = (cause: CancelCause): void => {
    if (source.signal.isCancelled || !attempt.mayAbandon()) return;
    abandonCause = cause;
    source.cancel(cause);
  };
  const timer =
    attemptTimeoutMillis === undefined
      ? undefined
      : setTimeout(abandon, attemptTimeoutMillis, 'timeout');
  const result = await attempt.execute({
    ...call,
    cancel: source.signal,
    onSuspected: () => {
      abandon('upstream-lost');
    },
  });
  clearTimeout(timer);
  callerCancel.dispose();
  if (abandonCause === undefined) return {result, isAbandoned: false};
  if (result.kind !== 'unknown') return {result, isAbandoned: true};
  return {result: {...result, reason: abandonCause}, isAbandoned: true};
}
