/**
 * One attempt that is given up if its answer takes much longer than usual and
 * the request may be sent elsewhere.
 */
import {createCancelSource} from '../base/cancel_signal.js';
import type {ExecutionCall, ExecutionEnd} from '../connection/execution.js';

/** An attempt to be waited for. */
export interface PatientAttempt {
  readonly call: ExecutionCall;
  /** `undefined`: it is waited for to its deadline. */
  readonly patienceMillis: number | undefined;
  readonly execute: (call: ExecutionCall) => Promise<ExecutionEnd>;
  /** Asked once, when the patience is over. */
  readonly mayGiveUp: () => boolean;
}

/** How it ended. */
export interface PatientEnd {
  readonly end: ExecutionEnd;
  /** Given up; the repeat was taken from the bounds. */
  readonly isGivenUp: boolean;
}

/** Runs an attempt. */
export async function runPatiently(
  attempt: PatientAttempt,
): Promise<PatientEnd> {
  const {call, patienceMillis} = attempt;
  if (patienceMillis === undefined) {
    return {end: await attempt.execute(call), isGivenUp: false};
  }
  const source = createCancelSource();
  const callers = call.cancel.onCancel(source.cancel);
  let isGivenUp = false;
  const timer = setTimeout(() => {
    if (call.cancel.isCancelled || !attempt.mayGiveUp()) return;
    isGivenUp = true;
    source.cancel();
  }, patienceMillis);
  const end = await attempt.execute({...call, cancel: source.signal});
  clearTimeout(timer);
  callers.dispose();
  if (!isGivenUp || end.kind !== 'unknown') return {end, isGivenUp};
  return {end: {...end, reason: 'timeout'}, isGivenUp};
}
