/**
 * Explicit cancellation of work that nobody waits for any more.
 */
import type {Disposable} from './lifecycle.js';

/** Tells work to stop. */
export interface CancelSignal {
  readonly isCancelled: boolean;
  /** Calls the listener once on cancellation, at once if it has taken place. */
  onCancel(listener: () => void): Disposable;
}

/** The cancelling side. */
export interface CancelSource {
  readonly signal: CancelSignal;
  cancel(): void;
}

const NOTHING: Disposable = {dispose: () => undefined};

/** Creates a source that has not been cancelled. */
export function createCancelSource(): CancelSource {
  const listeners = new Set<() => void>();
  let isCancelled = false;
  const signal: CancelSignal = {
    get isCancelled() {
      return isCancelled;
    },
    onCancel: listener => {
      if (isCancelled) {
        listener();
        return NOTHING;
      }
      listeners.add(listener);
      return {
        dispose: () => {
          listeners.delete(listener);
        },
      };
    },
  };
  return {
    signal,
    cancel: () => {
      if (isCancelled) return;
      isCancelled = true;
      for (const listener of [...listeners]) listener();
      listeners.clear();
    },
  };
}
