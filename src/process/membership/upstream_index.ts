/**
 * Lookups over the known upstreams: who takes work for a service, and who runs
 * at a host.
 */
import {compareStarts} from './upstream_start.js';
import type {KnownUpstream} from './known_upstream.js';

/** Lookups of one moment. */
export interface UpstreamIndex {
  readonly readyByService: ReadonlyMap<string, readonly KnownUpstream[]>;
  /** The latest start at each host. */
  readonly latestByHost: ReadonlyMap<string, KnownUpstream>;
  /** Ids of upstreams at whose host a later one has started. */
  readonly supersededIds: ReadonlySet<string>;
  /** Ids of upstreams whose service no configuration names. */
  readonly unconfiguredIds: ReadonlySet<string>;
}

/**
 * Indexes what is known. Upstreams of services that no configuration names take
 * no part: such an entry may come from another writer, and would push a live
 * upstream from its host.
 */
export function indexUpstreams(
  known: Iterable<KnownUpstream>,
  isServiceNamed: (service: string) => boolean,
): UpstreamIndex {
  const named: KnownUpstream[] = [];
  const unconfiguredIds = new Set<string>();
  for (const upstream of known) {
    const {id, service} = upstream.entry;
    if (isServiceNamed(service)) named.push(upstream);
    else unconfiguredIds.add(id);
  }
  const latestByHost = latestOf(named);
  const supersededIds = new Set<string>();
  const readyByService = new Map<string, KnownUpstream[]>();
  for (const upstream of named) {
    const {entry} = upstream;
    const latest = latestByHost.get(entry.hostKey);
    if (latest !== undefined && isLater(latest, upstream)) {
      supersededIds.add(entry.id);
      continue;
    }
    if (entry.isDraining) continue;
    const list = readyByService.get(entry.service) ?? [];
    list.push(upstream);
    readyByService.set(entry.service, list);
  }
  return {readyByService, latestByHost, supersededIds, unconfiguredIds};
}

function latestOf(
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
 * Whether an upstream started after another one at the same host. Without births
 * the one seen first is the earlier one; of two that were seen in one read
 * nothing is known.
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
