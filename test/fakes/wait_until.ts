/**
 * Waiting for a condition in tests that use sockets.
 */
import {setTimeout as sleep} from 'node:timers/promises';

/** Only a condition that never comes true runs into this bound. */
const BOUND_MILLIS = 40_000;
const LOOK_MILLIS = 10;

/** Returns when the condition holds; throws at a generous bound. */
export async function waitUntil(
  description: string,
  condition: () => boolean,
): Promise<void> {
  const endMillis = performance.now() + BOUND_MILLIS;
  while (!condition()) {
    if (performance.now() > endMillis) {
      throw new Error(`Did not come true: ${description}`);
    }
    await sleep(LOOK_MILLIS);
  }
}
