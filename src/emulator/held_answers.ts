/**
 * Answers that a stand-in for an upstream holds back until it is told to let
 * them go.
 */

/** Held answers of one stand-in. */
export interface HeldAnswers {
  /** Resolves when held answers are let go, or the client has gone away. */
  wait(signal: AbortSignal): Promise<void>;
  release(): void;
}

/** Creates the record of a stand-in that holds nothing. */
export function createHeldAnswers(): HeldAnswers {
  const held = new Set<() => void>();
  return {
    wait: signal =>
      new Promise(resolve => {
        const finish = (): void => {
          held.delete(finish);
          signal.removeEventListener('abort', finish);
          resolve();
        };
        held.add(finish);
        signal.addEventListener('abort', finish, {once: true});
      }),
    release: () => {
      for (const release of [...held]) release();
    },
  };
}
