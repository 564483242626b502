/**
 * Cancellation of work whose result is no longer needed.
 */
import type {Disposable} from './lifecycle.js';

/** Notifies running work that it was cancelled. */
export interface CancelSignal<C extends string = string> {
  readonly isCancelled: boolean;
  /** Why it was cancelled first; `undefined` until then. */
  readonly cause: C | undefined;
  /**
   * Calls the listener once on cancellation, or immediately if already
   * cancelled.
   */
  onCancel(listener: (cause: C) => void): Disposable;
}

/** Owns a signal and cancels it. */
export interface CancelSource<C extends string = string> {
  readonly signal: CancelSignal<C>;
  /** Only the first call has an effect. */
  cancel(cause: C): void;
}

/**
 * Uses plain fields because an accessor in an object literal makes each object
 * more expensive to create.
 */
interface MutableCancelSignal<C extends string> extends CancelSignal<C> {
  isCancelled: boolean;
  cause: C | undefined;
}

const NOOP_DISPOSABLE: Disposable = {dispose: () => undefined};

/** Creates a source that has not been cancelled. */
export function createCancelSource<
  C extends string = string,
>(): CancelSource<C> {
  /** Most signals have at most one listener, for which no set is allocated. */
  let first: ((cause: C) => void) | undefined;
  let others: Set<(cause: C) => void> | undefined;
  const add = (listener: (cause: C) => void): void => {
    if (first === undefined) {
      first = listener;
      return;
    }
    others ??= new Set();
    others.add(listener);
  };
  const remove = (listener: (cause: C) => void): void => {
    if (first === listener) first = undefined;
    else others?.delete(listener);
  };
  const signal: MutableCancelSignal<C> = {
    isCancelled: false,
    cause: undefined,
    onCancel: listener => {
      if (signal.cause !== undefined) {
        listener(signal.cause);
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
    cancel: cause => {
      if (signal.isCancelled) return;
      signal.isCancelled = true;
      signal.cause = cause;
      const listeners = [first, ...(others ?? [])];
      first = undefined;
      others = undefined;
      for (const listener of listeners) listener?.(cause);
    },
  };
}
