/**
 * The fleet view of a process: newest host list, merged statuses and indexes.
 */
import type {Emitter} from '../base/event.js';
import {createEmitter} from '../base/event.js';
import type {TimeSource} from '../base/time_source.js';
import type {HostList, PublishedHost} from '../version/host_list.js';
import {parseHostList} from '../version/host_list_schema.js';
import {digestOf} from '../version/json_document.js';
import {formatProblem} from '../version/problem.js';
import type {HostListOfferResult, HostStatus, KnownHost} from './fleet_view.js';
import {FleetView} from './fleet_view.js';
import type {HostStatusTable} from './host_status_table.js';
import {createHostStatusTable} from './host_status_table.js';
import type {Metrics} from './metrics.js';

/** Options of `createFleetView`. */
export interface FleetViewOptions {
  readonly metrics: Metrics;
  readonly time: TimeSource;
}

interface HeldList {
  readonly list: HostList;
  readonly bytes: Uint8Array;
  readonly digest: string;
}

/** Hosts by name, service and zone, so that no call walks the whole fleet. */
interface HostIndexes {
  readonly byName: Map<string, KnownHost>;
  readonly byService: Map<string, readonly KnownHost[]>;
  readonly byZone: Map<string, readonly KnownHost[]>;
}

/** Creates a view without a list. */
export function createFleetView(options: FleetViewOptions): FleetView {
  const {metrics} = options;
  const statuses = createHostStatusTable(options);
  const changeList = createEmitter<HostList>();
  const learnStatuses = createEmitter<readonly HostStatus[]>();
  let held: HeldList | undefined;
  let indexes: HostIndexes = buildIndexes([], statuses);

  function offer(bytes: Uint8Array): HostListOfferResult {
    const digest = digestOf(bytes);
    if (held?.digest === digest) return {kind: 'already-held'};
    const parsed = parseHostList(bytes);
    if (parsed.kind === 'invalid') {
      return {kind: 'invalid', problems: parsed.problems.map(formatProblem)};
    }
    const {list} = parsed;
    if (held !== undefined && list.revision === held.list.revision) {
      return {kind: 'digest-conflict', revision: list.revision};
    }
    if (held !== undefined && list.revision < held.list.revision) {
      return {kind: 'older', heldRevision: held.list.revision};
    }
    held = {list, bytes, digest};
    statuses.relist(new Set(list.hosts.map(host => host.name)));
    indexes = buildIndexes(list.hosts, statuses);
    return {kind: 'accepted', revision: list.revision};
  }

  return new (class extends FleetView {
    override readonly onDidChangeList = changeList.event;
    override readonly onDidLearnStatuses = learnStatuses.event;

    override listRevision(): number {
      return held?.list.revision ?? 0;
    }
    override listDigest(): string {
      return held?.digest ?? '';
    }
    override listBytes(): Uint8Array {
      return held?.bytes ?? new Uint8Array();
    }
    override list(): HostList | undefined {
      return held?.list;
    }
    override offerList(bytes: Uint8Array, source: string): HostListOfferResult {
      const result = offer(bytes);
      metrics.increment('fleet.list_offers', {source, result: result.kind});
      if (result.kind === 'accepted') fireList(changeList, held);
      return result;
    }
    override mergeStatuses(
      offered: readonly HostStatus[],
    ): readonly HostStatus[] {
      const news = offered.filter(status => statuses.merge(status));
      if (news.length === 0) return news;
      metrics.increment('fleet.status_news', {}, news.length);
      for (const status of news) {
        refreshHost(indexes, status.hostName, statuses);
      }
      learnStatuses.fire(news);
      return news;
    }
    override statuses(): readonly HostStatus[] {
      return statuses.listed();
    }
    override statusDigest(): bigint {
      return statuses.digest();
    }
    override host(hostName: string): KnownHost | undefined {
      return indexes.byName.get(hostName);
    }
    override hostsOf(service: string): readonly KnownHost[] {
      return indexes.byService.get(service) ?? [];
    }
    override hostsIn(availabilityZone: string): readonly KnownHost[] {
      return indexes.byZone.get(availabilityZone) ?? [];
    }
  })();
}

function fireList(
  emitter: Emitter<HostList>,
  held: HeldList | undefined,
): void {
  if (held !== undefined) emitter.fire(held.list);
}

function toKnownHost(
  host: PublishedHost,
  status: HostStatus | undefined,
): KnownHost {
  const isLeaving = status?.phase === 'draining' || status?.phase === 'stopped';
  return {host, status, acceptsNewWork: host.state === 'live' && !isLeaving};
}

function buildIndexes(
  hosts: readonly PublishedHost[],
  statuses: HostStatusTable,
): HostIndexes {
  const known = hosts.map(host => toKnownHost(host, statuses.get(host.name)));
  return {
    byName: new Map(known.map(entry => [entry.host.name, entry])),
    byService: groupBy(known, entry => entry.host.service),
    byZone: groupBy(known, entry => entry.host.availabilityZone),
  };
}

function groupBy(
  hosts: readonly KnownHost[],
  groupOf: (host: KnownHost) => string,
): Map<string, readonly KnownHost[]> {
  const groups = new Map<string, KnownHost[]>();
  for (const host of hosts) {
    const group = groups.get(groupOf(host));
    if (group === undefined) groups.set(groupOf(host), [host]);
    else group.push(host);
  }
  return groups;
}

/** Replaces one host in all indexes after its status has changed. */
function refreshHost(
  indexes: HostIndexes,
  hostName: string,
  statuses: HostStatusTable,
): void {
  const previous = indexes.byName.get(hostName);
  if (previous === undefined) return;
  const {host} = previous;
  const current = toKnownHost(host, statuses.get(hostName));
  indexes.byName.set(hostName, current);
  replaceIn(indexes.byService, host.service, previous, current);
  replaceIn(indexes.byZone, host.availabilityZone, previous, current);
}

function replaceIn(
  groups: Map<string, readonly KnownHost[]>,
  group: string,
  previous: KnownHost,
  current: KnownHost,
): void {
  const members = groups.get(group) ?? [];
  groups.set(
    group,
    members.map(member => (member === previous ? current : member)),
  );
}
