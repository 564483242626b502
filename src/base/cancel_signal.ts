/**
 * Cancellation of work whose result is no longer needed.
 */
import type {Disposable} from './lifecycle.js';

/** Notifies running work that it was cancelled. */
export interface CancelSignal {
  readonly isCancelled: boolean;
  /**
   * Calls the listener once on cancellation, or immediately if already
   * cancelled.
   */
  onCancel(listener: () => void): Disposable;
}

/** Owns a signal and cancels it. */
export interface CancelSource {
  readonly signal: CancelSignal;
  cancel(): void;
}

/**
 * Uses plain fields because an accessor in an object literal makes each object
 * more expensive to create.
 */
interface MutableCancelSignal extends CancelSignal {
  isCancelled: boolean;
}

const NOOP_DISPOSABLE: Disposable = {dispose: () => undefined};

/** Creates a source that has not been cancelled. */
export function createCancelSource(): CancelSource {
  /** Most signals have at most one listener, for which no set is allocated. */
  let first: (() => void) | undefined;
  let others: Set<() => void> | undefined;
  const add = (listener: () => void): void => {
    if (first === undefined) {
      first = listener;
      return;
    }
    others ??= new Set();
    others.add(listener);
  };
  const remove = (listener: () => void): void => {
    if (first === listener) first = undefined;
    else others?.delete(listener);
  };
  const signal: MutableCancelSignal = {
    isCancelled: false,
    onCancel: listener => {
      if (signal.isCancelled) {
        listener();
        return NOOP_DISPOSABLE;
      }
      add(listener);
      return {
        dispose: () => {
          remove(listener);
        },
      };
    },
  };
  return {
    signal,
    cancel: () => {
      if (signal.isCancelled) return;
      signal.isCancelled = true;
      const listeners = [first, ...(others ?? [])];
      first = undefined;
      others = undefined;
      for (const listener of listeners) listener?.();
    },
  };
}
