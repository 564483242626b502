/**
 * Stalls of the test process.
 */

/** Blocks the event loop. */
export function stallProcess(millis: number): void {
  const endMillis = performance.now() + millis;
  while (performance.now() < endMillis);
}
