/**
 * Explicit cancellation of work that is no longer needed.
 */
import type {Disposable} from './lifecycle.js';

/** Signals work to stop. */
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

/** Plain fields: an accessor in a literal makes each object costly to create. */
interface OwnSignal extends CancelSignal {
  isCancelled: boolean;
}

const NOTHING: Disposable = {dispose: () => undefined};

/** Creates a source that has not been cancelled. */
export function createCancelSource(): CancelSource {
  /** Most have one or none, and no set is made for these. */
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
  const signal: OwnSignal = {
    isCancelled: false,
    onCancel: listener => {
      if (signal.isCancelled) {
        listener();
        return NOTHING;
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
