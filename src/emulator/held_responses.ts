/**
 * Answers that a stand-in for an upstream holds back until it is told to let
 * them go.
 */

/** Held answers of one stand-in. */
export interface HeldResponses {
  /** Resolves when held answers are let go, or the client has gone away. */
  wait(signal: AbortSignal): Promise<void>;
  release(): void;
}

/** Creates the record of a stand-in that holds nothing. */
export function createHeldResponses(): HeldResponses {
  const waiting = new Set<() => void>();
  return {
    wait: signal =>
      new Promise(resolve => {
        const finish = (): void => {
          waiting.delete(finish);
          signal.removeEventListener('abort', finish);
          resolve();
        };
        waiting.add(finish);
        signal.addEventListener('abort', finish, {once: true});
      }),
    release: () => {
      for (const release of [...waiting]) release();
    },
  };
}
