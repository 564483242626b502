/**
 * Watches the policy in force at every host, from its start on, for steps
 * backwards and for documents that differ under one version.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Fleet} from '../../src/emulator/fleet_launcher.js';
import {NO_POLICY} from '../../src/emulator/fleet_launcher.js';

/** A watch that runs until stopped. */
export interface VersionMonitor {
  decreasesCount(): number;
  /** Documents seen beyond the first of each version. */
  conflictsCount(): number;
  stop(): Promise<void>;
}

const POLL_INTERVAL_MILLIS = 50;

/**
 * Starts watching. A host that does not answer is passed over; one that comes
 * back with a lower version than it had counts as a step backwards.
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
