/**
 * Execution slots of an emulated upstream: a fixed number runs, a bounded
 * number waits in order of arrival.
 */

/** Slots and the requests that wait for one. */
export interface SlotPool {
  /**
   * Resolves true with a slot taken, false when the queue is full or the
   * signal fired first.
   */
  acquire(signal: AbortSignal): Promise<boolean>;
  release(): void;
  busyCount(): number;
  waitingCount(): number;
}

/** Creates a pool with all slots free. */
export function createSlotPool(
  slotsCount: number,
  queueCount: number,
): SlotPool {
  const waiting: (() => void)[] = [];
  let busyCount = 0;
  return {
    acquire: signal => {
      if (signal.aborted) return Promise.resolve(false);
      if (busyCount < slotsCount) {
        busyCount += 1;
        return Promise.resolve(true);
      }
      if (waiting.length >= queueCount) return Promise.resolve(false);
      return new Promise(resolve => {
        const onAbort = (): void => {
          waiting.splice(waiting.indexOf(onSlotFree), 1);
          resolve(false);
        };
        const onSlotFree = (): void => {
          signal.removeEventListener('abort', onAbort);
          resolve(true);
        };
        waiting.push(onSlotFree);
        signal.addEventListener('abort', onAbort, {once: true});
      });
    },
    release: () => {
      const next = waiting.shift();
      if (next === undefined) busyCount -= 1;
      else next();
    },
    busyCount: () => busyCount,
    waitingCount: () => waiting.length,
  };
}
