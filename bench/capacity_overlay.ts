/**
 * Shape of the mesh of peer streams at any number of hosts, by the product's own
 * choice of peers. Computed, not measured: nothing is sent.
 */
import {createTimeSource} from '../src/base/time_source.js';
import {createPeerChooser} from '../src/connection/peer_chooser.js';
import {createPeerSuspicion} from '../src/connection/peer_suspicion.js';
import type {FleetView} from '../src/process/fleet_view.js';
import {createFleetView} from '../src/process/in_memory_fleet_view.js';
import {createPeerSlots} from '../src/process/peer_selection.js';
import {electReaders} from '../src/process/reader_election.js';
import {DEFAULT_CONTROL} from '../src/process/settings_defaults.js';
import type {PublishedHost} from '../src/version/host_list.js';
import {createCountingMetrics} from '../test/fakes/counting_metrics.js';
import {createHostList, encode} from './capacity_documents.js';

/** What the streams of all hosts together look like. */
export interface OverlayShape {
  readonly hostsCount: number;
  /** Most hops between any two hosts; infinite if they are not connected. */
  readonly diameterHops: number;
  readonly meanHops: number;
  /** Most hops from the nearest reader, with readers in all zones. */
  readonly fromReadersHops: number;
  /** The same with readers in one region only. */
  readonly fromOneRegionHops: number;
  readonly meanStreamsCount: number;
  readonly maximumInboundCount: number;
  /** Largest part of the others that holds together without one zone. */
  readonly connectedWithoutZoneRatio: number;
}

type Links = ReadonlyMap<string, ReadonlySet<string>>;

/** Lets every host choose its peers, one after another. */
export function computeOverlay(hostsCount: number, seed: string): OverlayShape {
  const fleetView = createFleetView({
    time: createTimeSource(),
    metrics: createCountingMetrics(),
  });
  fleetView.offerList(encode(createHostList(hostsCount, 1, seed)), 'bench');
  const hosts = fleetView.list()?.hosts ?? [];
  const inbound = new Map(hosts.map(host => [host.name, new Set<string>()]));
  const links = new Map(hosts.map(host => [host.name, new Set<string>()]));
  for (const host of hosts) {
    for (const peer of choosePeers(host, fleetView, inbound)) {
      inbound.get(peer)?.add(host.name);
      links.get(peer)?.add(host.name);
      links.get(host.name)?.add(peer);
    }
  }
  return describe(hosts, fleetView, links, inbound);
}

function choosePeers(
  host: PublishedHost,
  fleetView: FleetView,
  inbound: Links,
): readonly string[] {
  const {remotePeersCount} = DEFAULT_CONTROL;
  const chooser = createPeerChooser({
    own: {...host, hostName: host.name},
    remotePeersCount,
    seedPeers: [],
    fleetView,
    suspicion: createPeerSuspicion(createTimeSource()),
    isLinkedInbound: name => inbound.get(host.name)?.has(name) === true,
  });
  const chosen: string[] = [];
  for (const slot of createPeerSlots(DEFAULT_CONTROL)) {
    const peer = chooser.choose(slot, undefined);
    if (peer === undefined) continue;
    chooser.claim(peer);
    chosen.push(peer.hostName);
  }
  return chosen;
}

function describe(
  hosts: readonly PublishedHost[],
  fleetView: FleetView,
  links: Links,
  inbound: Links,
): OverlayShape {
  const names = hosts.map(host => host.name);
  const fromEach = names.map(name => countHops([name], links));
  const readers = electAll(hosts, fleetView);
  const region = hosts[0]?.region;
  const regionReaders = readers.filter(
    name => fleetView.host(name)?.host.region === region,
  );
  const zone = hosts[0]?.availabilityZone;
  const rest = hosts.filter(host => host.availabilityZone !== zone);
  return {
    hostsCount: hosts.length,
    diameterHops: Math.max(...fromEach.map(hops => farthest(hops, names))),
    meanHops: mean(fromEach.flatMap(hops => [...hops.values()])),
    fromReadersHops: farthest(countHops(readers, links), names),
    fromOneRegionHops: farthest(countHops(regionReaders, links), names),
    meanStreamsCount: mean([...links.values()].map(peers => peers.size)),
    maximumInboundCount: Math.max(
      ...[...inbound.values()].map(peers => peers.size),
    ),
    connectedWithoutZoneRatio: connectedRatio(
      rest.map(host => host.name),
      links,
    ),
  };
}

function electAll(
  hosts: readonly PublishedHost[],
  fleetView: FleetView,
): readonly string[] {
  const zones = new Set(hosts.map(host => host.availabilityZone));
  return [...zones].flatMap(zone =>
    electReaders(zone, DEFAULT_CONTROL.zoneReadersCount, fleetView),
  );
}

/** Hops to each host that is reached, over the allowed hosts only. */
function countHops(
  sources: readonly string[],
  links: Links,
  isAllowed: (name: string) => boolean = () => true,
): ReadonlyMap<string, number> {
  const hops = new Map(sources.map(name => [name, 0]));
  let edge = [...sources];
  for (let distance = 1; edge.length > 0; distance += 1) {
    const next: string[] = [];
    for (const name of edge.flatMap(from => [...(links.get(from) ?? [])])) {
      if (hops.has(name) || !isAllowed(name)) continue;
      hops.set(name, distance);
      next.push(name);
    }
    edge = next;
  }
  return hops;
}

function farthest(
  hops: ReadonlyMap<string, number>,
  names: readonly string[],
): number {
  return Math.max(...names.map(name => hops.get(name) ?? Infinity));
}

function connectedRatio(names: readonly string[], links: Links): number {
  const allowed = new Set(names);
  const largest = Math.max(
    ...names
      .slice(0, 20)
      .map(name => countHops([name], links, other => allowed.has(other)).size),
  );
  return largest / names.length;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
