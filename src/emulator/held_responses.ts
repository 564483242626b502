/**
 * Responses that an emulated upstream delays until a control request releases
 * them.
 */

/** Held responses of one emulated upstream. */
export interface HeldResponses {
  /** Resolves when `release` is called or the signal fires. */
  wait(signal: AbortSignal): Promise<void>;
  /** Releases all responses that are held now. */
  release(): void;
}

/** Creates an empty set of held responses. */
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
