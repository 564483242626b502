/**
 * Watches the policy version in force at every host for steps backwards.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Fleet} from '../../src/emulator/fleet_launcher.js';

/** A watch that runs until stopped. */
export interface VersionWatch {
  decreasesCount(): number;
  stop(): Promise<void>;
}

const INTERVAL_MILLIS = 50;

/**
 * Starts watching. A host that does not answer is passed over; one that comes
 * back with a lower version than it had counts as a step backwards.
 */
export function watchVersions(
  fleet: Fleet,
  runningHosts: () => readonly string[],
): VersionWatch {
  const highest = new Map<string, number>();
  let decreasesCount = 0;
  let isStopped = false;
  const run = async (): Promise<void> => {
    while (!isStopped) {
      const names = runningHosts();
      const versions = await Promise.all(names.map(fleet.versionInForce));
      names.forEach((name, i) => {
        const version = versions[i] ?? 0;
        if (version === 0) return;
        const before = highest.get(name) ?? 0;
        if (version < before) decreasesCount += 1;
        highest.set(name, Math.max(before, version));
      });
      await sleep(INTERVAL_MILLIS);
    }
  };
  const running = run();
  return {
    decreasesCount: () => decreasesCount,
    stop: () => {
      isStopped = true;
      return running;
    },
  };
}
