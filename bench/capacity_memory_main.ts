/**
 * Program: loads the modules named on the command line and prints what the
 * process then needs. It imports nothing else, since that would count too.
 */
import {setTimeout as sleep} from 'node:timers/promises';

const SETTLING_MILLIS = 200;

for (const path of process.argv.slice(2)) {
  await import(new URL(path, import.meta.url).href);
}
await globalThis.gc?.();
await sleep(SETTLING_MILLIS);
await globalThis.gc?.();
const {rss, heapUsed, external} = process.memoryUsage();
process.stdout.write(
  JSON.stringify({residentBytes: rss, liveBytes: heapUsed + external}),
);
