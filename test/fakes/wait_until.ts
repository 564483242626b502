/**
 * Polls a condition in tests with real I/O.
 */
import {setTimeout as sleep} from 'node:timers/promises';

/** Long enough that only a condition that never becomes true reaches it. */
const TIMEOUT_MILLIS = 40_000;
const POLL_INTERVAL_MILLIS = 10;

/** Returns when the condition is true; throws after the timeout. */
export async function waitUntil(
  description: string,
  condition: () => boolean,
): Promise<void> {
  const endMillis = performance.now() + TIMEOUT_MILLIS;
  while (!condition()) {
    if (performance.now() > endMillis) {
      throw new Error(`Timed out waiting for: ${description}`);
    }
    await sleep(POLL_INTERVAL_MILLIS);
  }
}
