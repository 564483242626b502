/**
 * Polls the policy in force at each host and detects versions that decrease and
 * documents that differ under the same version.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Fleet} from '../../src/emulator/fleet_launcher.js';
import {NO_POLICY} from '../../src/emulator/fleet_launcher.js';

/** A monitor that runs until it is stopped. */
export interface VersionMonitor {
  /** Number of polls that found a lower version than a host had before. */
  decreasesCount(): number;
  /** Number of documents beyond the first of each version. */
  conflictsCount(): number;
  stop(): Promise<void>;
}

const POLL_INTERVAL_MILLIS = 50;

/**
 * Starts polling. A host that does not respond is skipped; one that returns with
 * a lower version than before counts as a decrease.
 */
export function monitorVersions(
  fleet: Fleet,
  watchedHosts: () => readonly string[],
): VersionMonitor {
  const highest = new Map<string, number>();
  const digests = new Map<number, Set<string>>();
  let decreasesCount = 0;
  let isStopped = false;
  const run = async (): Promise<void> => {
    while (!isStopped) {
      const names = watchedHosts();
      const policies = await Promise.all(names.map(fleet.policyInForce));
      names.forEach((name, i) => {
        const {version, digest} = policies[i] ?? NO_POLICY;
        if (version === 0) return;
        const versionDigests = digests.get(version) ?? new Set();
        digests.set(version, versionDigests.add(digest));
        const before = highest.get(name) ?? 0;
        if (version < before) decreasesCount += 1;
        highest.set(name, Math.max(before, version));
      });
      await sleep(POLL_INTERVAL_MILLIS);
    }
  };
  const running = run();
  return {
    decreasesCount: () => decreasesCount,
    conflictsCount: () =>
      [...digests.values()].reduce(
        (sum, versionDigests) => sum + versionDigests.size - 1,
        0,
      ),
    stop: () => {
      isStopped = true;
      return running;
    },
  };
}
