/**
 * Execution slots of an emulated upstream: a fixed number of requests run, and
 * a bounded number wait in order of arrival.
 */

/** A pool of slots with a FIFO queue. */
export interface SlotPool {
  /**
   * Resolves to true when a slot is acquired, or to false if the queue is full
   * or the signal fires first.
   */
  acquire(signal: AbortSignal): Promise<boolean>;
  /** Passes the slot to the next waiting request, or frees it. */
  release(): void;
  busyCount(): number;
  waitingCount(): number;
}

/** Creates a pool whose slots are all free. */
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
