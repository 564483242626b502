/**
 * Announcements of hosts about themselves, merged by (incarnation, sequence).
 */
import {hash64} from '../base/hash.js';
import type {TimeSource} from '../base/time_source.js';
import type {HostStatus} from './fleet_view.js';
import type {Metrics} from './metrics.js';

/** How long the status of an unlisted host is kept; the list lags. */
export const UNLISTED_STATUS_MILLIS = 600_000;

/** Unlisted hosts whose statuses are kept at a time. */
export const UNLISTED_STATUSES_COUNT = 1024;

const HOST_NAME_CHARACTERS = 255;

/** Statuses of listed hosts, and for a bounded time of others. */
export interface HostStatusTable {
  /** Takes a status; true when it was news. */
  merge(status: HostStatus): boolean;
  get(hostName: string): HostStatus | undefined;
  /** Statuses of listed hosts. */
  listed(): readonly HostStatus[];
  /** XOR of the hashes of the listed hosts' statuses. */
  digest(): bigint;
  /** Sorts the statuses anew after the list has changed. */
  relist(listedNames: ReadonlySet<string>): void;
  /** Statuses held of hosts that are not listed. */
  unlistedCount(): number;
}

/** Options of `createHostStatusTable`. */
export interface HostStatusTableOptions {
  readonly metrics: Metrics;
  readonly time: TimeSource;
}

interface UnlistedEntry {
  readonly status: HostStatus;
  readonly forgetAtMillis: number;
}

/**
 * Creates an empty table. The digest and the full exchange cover listed hosts
 * only: processes forget unlisted ones at different times, and a digest over
 * them would keep differing and bring forgotten statuses back.
 */
export function createHostStatusTable(
  options: HostStatusTableOptions,
): HostStatusTable {
  const {metrics, time} = options;
  const listedStatuses = new Map<string, HostStatus>();
  const unlisted = new Map<string, UnlistedEntry>();
  let listedNames: ReadonlySet<string> = new Set();
  let digest = 0n;

  function get(hostName: string): HostStatus | undefined {
    return listedStatuses.get(hostName) ?? unlisted.get(hostName)?.status;
  }

  function store(status: HostStatus): boolean {
    if (!listedNames.has(status.hostName)) return storeUnlisted(status);
    const previous = listedStatuses.get(status.hostName);
    if (previous !== undefined) digest ^= hashStatus(previous);
    digest ^= hashStatus(status);
    listedStatuses.set(status.hostName, status);
    return true;
  }

  function storeUnlisted(status: HostStatus): boolean {
    forgetExpired();
    const isKnown = unlisted.delete(status.hostName);
    if (!isKnown && unlisted.size >= UNLISTED_STATUSES_COUNT) {
      metrics.increment('fleet.status_dropped', {reason: 'unlisted-full'});
      return false;
    }
    unlisted.set(status.hostName, {
      status,
      forgetAtMillis: time.monotonicMillis() + UNLISTED_STATUS_MILLIS,
    });
    return true;
  }

  /** Entries are in the order of their expiry, so this stops at the first live one. */
  function forgetExpired(): void {
    const nowMillis = time.monotonicMillis();
    for (const [hostName, entry] of unlisted) {
      if (entry.forgetAtMillis > nowMillis) return;
      unlisted.delete(hostName);
      metrics.increment('fleet.status_forgotten');
    }
  }

  return {
    merge: status => {
      if (!isWellFormed(status)) {
        metrics.increment('fleet.status_dropped', {reason: 'malformed'});
        return false;
      }
      const held = get(status.hostName);
      if (held !== undefined && !isNewer(status, held)) return false;
      return store(status);
    },
    get,
    listed: () => [...listedStatuses.values()],
    digest: () => digest,
    relist: names => {
      const all = [...unlisted.values()].map(entry => entry.status);
      all.push(...listedStatuses.values());
      const kept = new Map(unlisted);
      listedNames = names;
      listedStatuses.clear();
      unlisted.clear();
      digest = 0n;
      // Unlisted hosts keep their expiry, so that new lists do not prolong it.
      for (const [hostName, entry] of kept) {
        if (!names.has(hostName)) unlisted.set(hostName, entry);
      }
      for (const status of all) {
        if (!unlisted.has(status.hostName)) store(status);
      }
      forgetExpired();
    },
    unlistedCount: () => unlisted.size,
  };
}

/** Whether `status` replaces `held`. */
export function isNewer(status: HostStatus, held: HostStatus): boolean {
  if (status.incarnationMillis !== held.incarnationMillis) {
    return status.incarnationMillis > held.incarnationMillis;
  }
  return status.sequence > held.sequence;
}

function isWellFormed(status: HostStatus): boolean {
  return (
    status.hostName.length > 0 &&
    status.hostName.length <= HOST_NAME_CHARACTERS &&
    Number.isSafeInteger(status.incarnationMillis) &&
    Number.isSafeInteger(status.sequence)
  );
}

function hashStatus(status: HostStatus): bigint {
  return hash64(
    [
      status.hostName,
      status.incarnationMillis,
      status.sequence,
      status.phase,
    ].join('\u0000'),
  );
}
