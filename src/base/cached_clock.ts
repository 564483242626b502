/**
 * A clock that is read once in each turn of the event loop.
 *
 * A request passes some thirty decisions that ask for the time; within one turn
 * they differ by less than any of their bounds.
 */

/** Creates a clock in milliseconds over one that costs more to read. */
export function createCachedClock(readMillis: () => number): () => number {
  let turnMillis = 0;
  let isRead = false;
  const endTurn = (): void => {
    isRead = false;
  };
  return () => {
    if (isRead) return turnMillis;
    isRead = true;
    turnMillis = readMillis();
    // Runs after the callbacks of this turn and before the process waits again.
    setImmediate(endTurn);
    return turnMillis;
  };
}
