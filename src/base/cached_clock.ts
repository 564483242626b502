/**
 * A clock that is read once per event loop turn.
 *
 * A request makes about thirty decisions that read the time. Within one turn
 * the readings differ by less than any time limit they are compared with.
 */

/**
 * Creates a clock in milliseconds that caches `readMillis`, which is more
 * expensive to call, for one turn.
 */
export function createCachedClock(readMillis: () => number): () => number {
  let cachedMillis = 0;
  let isCached = false;
  const invalidate = (): void => {
    isCached = false;
  };
  return () => {
    if (isCached) return cachedMillis;
    isCached = true;
    cachedMillis = readMillis();
    // Runs after the callbacks of this turn and before the event loop waits
    // again.
    setImmediate(invalidate);
    return cachedMillis;
  };
}
