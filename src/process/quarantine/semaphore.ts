/**
 * Lets a bounded number of executions run at once; others wait in order.
 */
import type {CancelSignal} from '../../base/cancel_signal.js';

/** Turns of one kind of execution. */
export interface Semaphore {
  /**
   * Takes a turn: true at once if one is free, else when one is released; false if
   * none is by then, or if the wait is cancelled.
   */
  acquire(wait: SemaphoreWait): true | Promise<boolean>;
  /** Releases a turn that was taken. */
  release(): void;
}

/** How long a turn is waited for. */
export interface SemaphoreWait {
  readonly waitMillis: number;
  readonly cancel: CancelSignal;
}

/** Creates a queue of so many turns. */
export function createSemaphore(turnsCount: number): Semaphore {
  const waiting = new Set<() => void>();
  let takenCount = 0;

  const waitForTurn = ({waitMillis, cancel}: SemaphoreWait): Promise<boolean> =>
    new Promise(resolve => {
      const finish = (hasTurn: boolean): void => {
        waiting.delete(grant);
        clearTimeout(timer);
        cancelled.dispose();
        resolve(hasTurn);
      };
      const grant = (): void => {
        finish(true);
      };
      const giveUp = (): void => {
        finish(false);
      };
      const timer = setTimeout(giveUp, Math.max(0, waitMillis));
      waiting.add(grant);
      const cancelled = cancel.onCancel(giveUp);
    });

  return {
    acquire: wait => {
      if (takenCount >= turnsCount) return waitForTurn(wait);
      takenCount += 1;
      return true;
    },
    release: () => {
      const [next] = waiting;
      if (next === undefined) takenCount -= 1;
      else next();
    },
  };
}
