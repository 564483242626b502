/**
 * Waiting for a state of other processes.
 */
import {setTimeout as sleep} from 'node:timers/promises';

const POLL_MILLIS = 25;

/** Polls a condition; false when it did not hold within the limit. */
export async function waitFor(
  limitMillis: number,
  condition: () => Promise<boolean>,
): Promise<boolean> {
  const end = Date.now() + limitMillis;
  while (!(await condition())) {
    if (Date.now() > end) return false;
    await sleep(POLL_MILLIS);
  }
  return true;
}
