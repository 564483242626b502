/**
 * Lets a bounded number of executions run at once; others wait in order.
 */
import type {CancelSignal} from '../../base/cancel_signal.js';

/** Turns of one kind of execution. */
export interface TurnQueue {
  /**
   * Takes a turn: true at once if one is free, else when one is released; false if
   * none is by then, or if the wait is cancelled.
   */
  take(wait: TurnWait): true | Promise<boolean>;
  /** Releases a turn that was taken. */
  release(): void;
}

/** How long a turn is waited for. */
export interface TurnWait {
  readonly waitMillis: number;
  readonly cancel: CancelSignal;
}

/** Creates a queue of so many turns. */
export function createTurnQueue(turnsCount: number): TurnQueue {
  const waiting = new Set<() => void>();
  let takenCount = 0;

  const waitForTurn = ({waitMillis, cancel}: TurnWait): Promise<boolean> =>
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
    take: wait => {
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
