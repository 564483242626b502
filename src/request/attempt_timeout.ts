/**
 * One attempt that is given up if its answer takes much longer than usual and
 * the request may be sent elsewhere.
 */
import {createCancelSource} from '../base/cancel_signal.js';
import type {ExecutionCall, ExecutionResult} from '../connection/execution.js';

/** An attempt to be waited for. */
export interface TimedAttempt {
  readonly call: ExecutionCall;
  /** `undefined`: it is waited for to its deadline. */
  readonly attemptTimeoutMillis: number | undefined;
  readonly execute: (call: ExecutionCall) => Promise<ExecutionResult>;
  /** Asked once, when the patience is over. */
  readonly mayAbandon: () => boolean;
}

/** How it ended. */
export interface TimedAttemptResult {
  readonly end: ExecutionResult;
  /** Given up; the repeat was taken from the bounds. */
  readonly isAbandoned: boolean;
}

/** Runs an attempt. */
export async function runWithAttemptTimeout(
  attempt: TimedAttempt,
): Promise<TimedAttemptResult> {
  const {call, attemptTimeoutMillis} = attempt;
  if (attemptTimeoutMillis === undefined) {
    return {end: await attempt.execute(call), isAbandoned: false};
  }
  const source = createCancelSource();
  const callers = call.cancel.onCancel(source.cancel);
  let isAbandoned = false;
  const timer = setTimeout(() => {
    if (call.cancel.isCancelled || !attempt.mayAbandon()) return;
    isAbandoned = true;
    source.cancel();
  }, attemptTimeoutMillis);
  const end = await attempt.execute({...call, cancel: source.signal});
  clearTimeout(timer);
  callers.dispose();
  if (!isAbandoned || end.kind !== 'unknown') return {end, isAbandoned};
  return {end: {...end, reason: 'timeout'}, isAbandoned};
}
