/**
 * CPU time and live memory of the measuring process.
 */
import {setTimeout as sleep} from 'node:timers/promises';

const COLLECTIONS_COUNT = 3;
const MICROS_PER_MILLI = 1000;

/**
 * Live bytes on the heap and in buffers outside it, after the garbage has been
 * collected. Throws without `--expose-gc`: the figure would count garbage.
 */
export async function readLiveBytes(): Promise<number> {
  const {gc} = globalThis;
  if (gc === undefined) throw new Error('needs --expose-gc');
  for (let i = 0; i < COLLECTIONS_COUNT; i += 1) {
    // Buffers and weak references are released between two collections.
    await sleep(5);
    await gc();
  }
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

/** User and system time of this process so far. */
export function readCpuMillis(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / MICROS_PER_MILLI;
}

/** Mean CPU time of one run of an action, in milliseconds. */
export function measureCpuMillis(count: number, run: () => void): number {
  run();
  const beforeMillis = readCpuMillis();
  for (let i = 0; i < count; i += 1) run();
  return (readCpuMillis() - beforeMillis) / count;
}
