/**
 * Semaphore that limits how many executions run at once; others wait in order.
 */
import type {CancelSignal} from '../../base/cancel_signal.js';

/** Semaphore for one kind of execution. */
export interface Semaphore {
  /**
   * Acquires a permit: returns true at once if one is free. Otherwise resolves
   * with true when one is released, or with false if none is in time or the
   * wait is cancelled.
   */
  acquire(wait: SemaphoreWait): true | Promise<boolean>;
  /** Releases a permit that was acquired. */
  release(): void;
}

/** Limits of the wait for a permit. */
export interface SemaphoreWait {
  readonly waitMillis: number;
  readonly cancel: CancelSignal;
}

/** Creates a semaphore with so many permits. */
export function createSemaphore(permitsCount: number): Semaphore {
  const waiting = new Set<() => void>();
  let acquiredCount = 0;

  const waitForPermit = ({
    waitMillis,
    cancel,
  }: SemaphoreWait): Promise<boolean> =>
    new Promise(resolve => {
      const finish = (hasPermit: boolean): void => {
        waiting.delete(grant);
        clearTimeout(timer);
        cancelled.dispose();
        resolve(hasPermit);
      };
      const grant = (): void => {
        finish(true);
      };
      const abandon = (): void => {
        finish(false);
      };
      const timer = setTimeout(abandon, Math.max(0, waitMillis));
      waiting.add(grant);
      const cancelled = cancel.onCancel(abandon);
    });

  return {
    acquire: wait => {
      if (acquiredCount >= permitsCount) return waitForPermit(wait);
      acquiredCount += 1;
      return true;
    },
    release: () => {
      const [next] = waiting;
      if (next === undefined) acquiredCount -= 1;
      else next();
    },
  };
}
