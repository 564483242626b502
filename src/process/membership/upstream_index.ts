/**
 * Lookups over the known upstreams: those ready for a service, and the latest
 * one of a host.
 */
import {compareStarts} from './upstream_start.js';
import type {KnownUpstream} from './known_upstream.js';
import type {UpstreamEntry} from './upstream_entry.js';

/** Snapshot of the lookups. */
export interface UpstreamIndex {
  readonly readyByService: ReadonlyMap<string, readonly KnownUpstream[]>;
  /** The latest start on each host. */
  readonly latestByHost: ReadonlyMap<string, KnownUpstream>;
  /** Ids of upstreams on whose host a later one has started. */
  readonly supersededIds: ReadonlySet<string>;
  /** Ids of upstreams whose service is not configured. */
  readonly unconfiguredIds: ReadonlySet<string>;
}

/**
 * Indexes the known upstreams, except those of unconfigured services: such an
 * entry may come from another writer, and would supersede a live upstream on
 * its host. Leaving upstreams are not ready.
 */
export function indexUpstreams(
  known: Iterable<KnownUpstream>,
  isServiceConfigured: (service: string) => boolean,
  isLeaving: (entry: UpstreamEntry) => boolean,
): UpstreamIndex {
  const configured: KnownUpstream[] = [];
  const unconfiguredIds = new Set<string>();
  for (const upstream of known) {
    const {id, service} = upstream.entry;
    if (isServiceConfigured(service)) configured.push(upstream);
    else unconfiguredIds.add(id);
  }
  const latestByHost = findLatestByHost(configured);
  const supersededIds = new Set<string>();
  const readyByService = new Map<string, KnownUpstream[]>();
  for (const upstream of configured) {
    const {entry} = upstream;
    const latest = latestByHost.get(entry.hostKey);
    if (latest !== undefined && isLater(latest, upstream)) {
      supersededIds.add(entry.id);
      continue;
    }
    if (isLeaving(entry)) continue;
    const list = readyByService.get(entry.service) ?? [];
    list.push(upstream);
    readyByService.set(entry.service, list);
  }
  return {readyByService, latestByHost, supersededIds, unconfiguredIds};
}

function findLatestByHost(
  upstreams: readonly KnownUpstream[],
): ReadonlyMap<string, KnownUpstream> {
  const latest = new Map<string, KnownUpstream>();
  for (const upstream of upstreams) {
    const {hostKey} = upstream.entry;
    const other = latest.get(hostKey);
    if (other !== undefined && isLater(other, upstream)) continue;
    latest.set(hostKey, upstream);
  }
  return latest;
}

/**
 * Returns whether an upstream started after another one on the same host.
 * Without start times, the one received first is the earlier one; the order of
 * two from the same read is unknown.
 */
function isLater(upstream: KnownUpstream, other: KnownUpstream): boolean {
  switch (compareStarts(upstream.entry, other.entry)) {
    case 'later':
      return true;
    case 'unknown':
      return upstream.firstSeenMillis > other.firstSeenMillis;
    default:
      return false;
  }
}
