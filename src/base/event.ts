/**
 * Typed events between modules of one process.
 */
import type {Disposable} from './lifecycle.js';
import {toDisposable} from './lifecycle.js';

/** Subscribes a listener; disposing of the result unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Owns the listeners of an event and fires it. */
export interface Emitter<T> extends Disposable {
  readonly event: Event<T>;
  /** Calls all currently registered listeners in order of registration. */
  fire(value: T): void;
}

/** Creates an emitter without listeners. */
export function createEmitter<T>(): Emitter<T> {
  const listeners = new Set<(value: T) => void>();
  return {
    event: listener => {
      listeners.add(listener);
      return toDisposable(() => {
        listeners.delete(listener);
      });
    },
    fire: value => {
      for (const listener of [...listeners]) listener(value);
    },
    dispose: () => {
      listeners.clear();
    },
  };
}
