/**
 * Which hosts a node holds control streams to, so that all nodes together form
 * one connected graph at a fixed number of streams per node.
 */
import {compareBigInt, hash64, rendezvousOrder} from '../base/hash.js';
import type {FleetView, KnownHost} from './fleet_view.js';
import type {ControlSettings} from './settings.js';

/** The node that selects. */
export interface SelectingHost {
  readonly hostName: string;
  readonly availabilityZone: string;
  readonly region: string;
}

/** Purpose of one stream. */
export type PeerSlot =
  /** Next host of the own zone's ring; keeps the zone connected. */
  | {readonly kind: 'zone-ring'}
  /** Some host of the own zone; keeps paths short. */
  | {readonly kind: 'zone-random'; readonly index: number}
  /** Some host of another zone. */
  | {readonly kind: 'remote'; readonly index: number};

/** Lists the slots of a node. */
export function createPeerSlots(
  settings: Pick<ControlSettings, 'zonePeersCount' | 'remotePeersCount'>,
): readonly PeerSlot[] {
  const slots: PeerSlot[] = [];
  if (settings.zonePeersCount > 0) slots.push({kind: 'zone-ring'});
  for (let index = 1; index < settings.zonePeersCount; index += 1) {
    slots.push({kind: 'zone-random', index});
  }
  for (let index = 0; index < settings.remotePeersCount; index += 1) {
    slots.push({kind: 'remote', index});
  }
  return slots;
}

/** A host that may fill a slot; a lower tier is worth a change of streams. */
export interface PeerCandidate {
  readonly known: KnownHost;
  readonly tier: number;
}

/**
 * Hosts per zone whose remote streams follow the ring of zones. Two, so that
 * the zones stay connected while one of them is down.
 */
const ZONE_LINKERS_COUNT = 2;

/** Orders the hosts that may fill a slot, most wanted first. */
export function orderCandidates(
  slot: PeerSlot,
  own: SelectingHost,
  fleetView: FleetView,
  remotePeersCount: number,
): readonly PeerCandidate[] {
  switch (slot.kind) {
    case 'zone-ring':
      return ringAfter(own, fleetView).map((known, tier) => ({known, tier}));
    case 'zone-random':
      return orderByHash(
        `${own.hostName}#${String(slot.index)}`,
        selectableIn(own.availabilityZone, own, fleetView),
      ).map(known => ({known, tier: 0}));
    case 'remote':
      return orderRemote(slot.index, own, fleetView, remotePeersCount);
  }
}

function orderByHash(
  key: string,
  hosts: readonly KnownHost[],
): readonly KnownHost[] {
  return rendezvousOrder(key, hosts, known => known.host.name);
}

function selectableIn(
  availabilityZone: string,
  own: SelectingHost,
  fleetView: FleetView,
): readonly KnownHost[] {
  return fleetView
    .hostsIn(availabilityZone)
    .filter(known => known.acceptsNewWork && known.host.name !== own.hostName);
}

/** Items in the order of their hashes, starting after a given name. */
function startAfter<T>(
  name: string,
  items: readonly T[],
  nameOf: (item: T) => string,
): readonly T[] {
  const start = hash64(name);
  const ring = items
    .map(item => ({item, hash: hash64(nameOf(item))}))
    .sort((left, right) => compareBigInt(left.hash, right.hash));
  return [
    ...ring.filter(entry => entry.hash > start),
    ...ring.filter(entry => entry.hash <= start),
  ].map(entry => entry.item);
}

function ringAfter(
  own: SelectingHost,
  fleetView: FleetView,
): readonly KnownHost[] {
  return startAfter(
    own.hostName,
    selectableIn(own.availabilityZone, own, fleetView),
    known => known.host.name,
  );
}

/**
 * The first hosts of each zone connect the zones to a ring. All others choose
 * among all remote hosts alike, so that a small zone is not overrun.
 */
function orderRemote(
  index: number,
  own: SelectingHost,
  fleetView: FleetView,
  remotePeersCount: number,
): readonly PeerCandidate[] {
  const remote = selectableRemote(own, fleetView);
  const rank = rankInZone(own, fleetView);
  const isLast = index > 0 && index === remotePeersCount - 1;
  const key = `${own.hostName}#remote${String(index)}`;
  if (isLast) {
    return orderByHash(key, remote)
      .map(known => ({known, tier: known.host.region === own.region ? 1 : 0}))
      .sort((left, right) => left.tier - right.tier);
  }
  if (rank < ZONE_LINKERS_COUNT) {
    return orderByZoneRing(rank + index, own, orderByHash(key, remote));
  }
  return orderByHash(key, remote).map(known => ({known, tier: 0}));
}

function orderByZoneRing(
  offset: number,
  own: SelectingHost,
  hosts: readonly KnownHost[],
): readonly PeerCandidate[] {
  const names = new Set(hosts.map(known => known.host.availabilityZone));
  const zones = startAfter(own.availabilityZone, [...names], name => name);
  const tierOf = (known: KnownHost): number => {
    const position = zones.indexOf(known.host.availabilityZone);
    return (position + zones.length - (offset % zones.length)) % zones.length;
  };
  return hosts
    .map(known => ({known, tier: tierOf(known)}))
    .sort((left, right) => left.tier - right.tier);
}

function selectableRemote(
  own: SelectingHost,
  fleetView: FleetView,
): readonly KnownHost[] {
  const zones = new Set(
    (fleetView.list()?.hosts ?? []).map(host => host.availabilityZone),
  );
  zones.delete(own.availabilityZone);
  return [...zones].flatMap(zone => selectableIn(zone, own, fleetView));
}

function rankInZone(own: SelectingHost, fleetView: FleetView): number {
  const ownHash = hash64(own.hostName);
  return selectableIn(own.availabilityZone, own, fleetView).filter(
    known => hash64(known.host.name) < ownHash,
  ).length;
}
