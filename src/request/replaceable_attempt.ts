/**
 * Runs an attempt that another one may replace: its response takes much longer than
 * usual, or its upstream or that node may have ended. A replaced attempt continues, since
 * its upstream may be at work and its successor may fail.
 */
import {createCancelSource} from '../base/cancel_signal.js';
import type {
  ExecutionCall,
  ExecutionResult,
  SuspicionCause,
} from '../connection/execution.js';
import type {CancelCause} from '../protocol/cancel_cause.js';

/** Why an attempt is replaced. */
export type ReplacementCause = 'timeout' | SuspicionCause;

/** An attempt to run. */
export interface ReplaceableAttempt {
  readonly call: ExecutionCall;
  /** `undefined`: no usual time is known yet. */
  readonly attemptTimeoutMillis: number | undefined;
  readonly execute: (call: ExecutionCall) => Promise<ExecutionResult>;
  /** Whether another attempt may follow now; it then replaces this one. */
  readonly mayReplace: (cause: ReplacementCause) => boolean;
}

/** An attempt that is running. */
export interface RunningAttempt {
  readonly result: Promise<ExecutionResult>;
  cancel(cause: CancelCause): void;
}

/** A running attempt that may be replaced. */
export interface StartedAttempt extends RunningAttempt {
  /** Resolves when the attempt has ended or is replaced. */
  readonly endedOrReplaced: Promise<ExecutionResult | ReplacementCause>;
}

/** Starts an attempt that may run more than once. */
export function startAttempt({
  call,
  attemptTimeoutMillis,
  execute,
  mayReplace,
}: ReplaceableAttempt): StartedAttempt {
  const source = createCancelSource<CancelCause>();
  const callerCancel = call.cancel.onCancel(source.cancel);
  let isReplaceable = true;
  let finish: (outcome: ExecutionResult | ReplacementCause) => void = () =>
    undefined;
  const endedOrReplaced = new Promise<ExecutionResult | ReplacementCause>(
    resolve => {
      finish = resolve;
    },
  );
  const replace = (cause: ReplacementCause): void => {
    if (!isReplaceable || source.signal.isCancelled) return;
    if (!mayReplace(cause)) return;
    isReplaceable = false;
    finish(cause);
  };
  const timer =
    attemptTimeoutMillis === undefined
      ? undefined
      : setTimeout(replace, attemptTimeoutMillis, 'timeout');
  const run = async (): Promise<ExecutionResult> => {
    const result = await execute({
      ...call,
      cancel: source.signal,
      onSuspected: replace,
    });
    isReplaceable = false;
    clearTimeout(timer);
    callerCancel.dispose();
    finish(result);
    return result;
  };
  return {result: run(), endedOrReplaced, cancel: source.cancel};
}
