/**
 * One node's view of where keys belong, under one policy version and one
 * revision of the host list.
 */
import {hash64, rendezvousOrder} from '../base/hash.js';
import type {HostList} from '../version/host_list.js';
import type {KeyPolicy, Policy} from '../version/policy.js';

/** Most hosts of an availability zone that are asked to confirm views. */
export const ELECTORS_MAXIMUM_COUNT = 7;

/** Confirmations needed from a full set of electors. */
export const FULL_QUORUM_COUNT = 5;

/** Placement of keys under one pair of versions. */
export interface KeyView {
  readonly policyVersion: number;
  readonly listRevision: number;
  readonly keys: KeyPolicy;
  /** Hosts of the own zone whose confirmation counts. */
  readonly electors: readonly string[];
  /** Equal for two views that place the own service's keys alike. */
  readonly placementDigest: bigint;
  /** Host that may execute the key; undefined if there is none. */
  homeOf(key: string, service: string): string | undefined;
}

/** The node for which a view is built. */
export interface KeyViewOwner {
  readonly service: string;
  readonly availabilityZone: string;
}

/** Builds the view of a node; O(hosts), once per view. */
export function createKeyView(
  policy: Policy,
  list: HostList,
  owner: KeyViewOwner,
): KeyView {
  const zones = policy.availabilityZones.map(zone => zone.name);
  const index = indexHosts(list);
  const ownZone = owner.availabilityZone;
  const zoneHosts = list.hosts
    .filter(host => host.availabilityZone === ownZone)
    .map(host => host.name);
  const serviceHosts = index.get(owner.service)?.get(ownZone) ?? [];
  return {
    policyVersion: policy.version,
    listRevision: list.revision,
    keys: policy.keys,
    electors: rank(ownZone, zoneHosts).slice(0, ELECTORS_MAXIMUM_COUNT),
    placementDigest: digestPlacement(zones, serviceHosts),
    homeOf: (key, service) => {
      const zone = prefixedZone(key, zones) ?? highest(key, zones);
      if (zone === undefined) return undefined;
      return highest(key, index.get(service)?.get(zone) ?? []);
    },
  };
}

/** Confirmations that make a quorum of a set of electors. */
export function quorumCount(electorsCount: number): number {
  if (electorsCount >= ELECTORS_MAXIMUM_COUNT) return FULL_QUORUM_COUNT;
  return Math.floor(electorsCount / 2) + 1;
}

type HostIndex = ReadonlyMap<string, ReadonlyMap<string, readonly string[]>>;

function indexHosts(list: HostList): HostIndex {
  const index = new Map<string, Map<string, string[]>>();
  for (const {name, service, availabilityZone} of list.hosts) {
    const zones = index.get(service) ?? new Map<string, string[]>();
    index.set(service, zones);
    const names = zones.get(availabilityZone) ?? [];
    zones.set(availabilityZone, names);
    names.push(name);
  }
  return index;
}

function digestPlacement(
  zones: readonly string[],
  hosts: readonly string[],
): bigint {
  return hash64(JSON.stringify([[...zones].sort(), [...hosts].sort()]));
}

/** The longest zone name that, followed by a dot, starts the key. */
function prefixedZone(
  key: string,
  zones: readonly string[],
): string | undefined {
  let longest: string | undefined;
  for (const zone of zones) {
    if (!key.startsWith(`${zone}.`)) continue;
    if (longest === undefined || zone.length > longest.length) longest = zone;
  }
  return longest;
}

function highest(
  key: string,
  candidates: readonly string[],
): string | undefined {
  return candidates.length < 2 ? candidates[0] : rank(key, candidates)[0];
}

function rank(key: string, candidates: readonly string[]): readonly string[] {
  return rendezvousOrder(key, candidates, name => name);
}
