/**
 * Timeouts for events of the network. After a stall of this process, timers expire before
 * events that arrived in time are read; these timeouts let the event loop read them first.
 */
import type {Disposable} from './lifecycle.js';

/**
 * Turns of the event loop after the timer: one reports that a connection is established,
 * the next one its first data; either may take another turn on a busy host.
 */
const READ_TURNS_COUNT = 4;

/** Calls the listener after this many turns of the event loop. */
export function afterLoopTurns(turnsCount: number, listener: () => void): void {
  if (turnsCount === 0) listener();
  else setImmediate(afterLoopTurns, turnsCount - 1, listener);
}

/** Calls the listener once events that have arrived by now are handled. */
export function afterPendingReads(listener: () => void): void {
  afterLoopTurns(READ_TURNS_COUNT, listener);
}

/** Calls the listener after this time, unless it is disposed while pending events are read. */
export function startIoTimeout(
  timeoutMillis: number,
  onTimeout: () => void,
): Disposable {
  let isDisposed = false;
  const timer = setTimeout(() => {
    afterPendingReads(() => {
      if (!isDisposed) onTimeout();
    });
  }, timeoutMillis);
  return {
    dispose: () => {
      isDisposed = true;
      clearTimeout(timer);
    },
  };
}
