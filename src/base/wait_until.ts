/**
 * Bounded waiting for a condition that no event announces.
 */

const POLL_MILLIS = 10;

/** Returns when the condition holds or the time is up, whichever is first. */
export async function waitUntil(
  condition: () => boolean,
  limitMillis: number,
): Promise<void> {
  const deadlineMillis = performance.now() + limitMillis;
  while (!condition() && performance.now() < deadlineMillis) {
    await new Promise(resolve => setTimeout(resolve, POLL_MILLIS));
  }
}
