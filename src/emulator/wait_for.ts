/**
 * Polling for a condition.
 */
import {setTimeout as sleep} from 'node:timers/promises';

const POLL_INTERVAL_MILLIS = 25;

/** Polls a condition; resolves to false if it is not met before the timeout. */
export async function waitFor(
  timeoutMillis: number,
  condition: () => Promise<boolean>,
): Promise<boolean> {
  const endMillis = Date.now() + timeoutMillis;
  while (!(await condition())) {
    if (Date.now() > endMillis) return false;
    await sleep(POLL_INTERVAL_MILLIS);
  }
  return true;
}
