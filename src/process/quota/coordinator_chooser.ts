/**
 * Chooses the node that coordinates the quota of an organisation: the first
 * reachable one in an order that is the same at all nodes (rendezvous hashing).
 *
 * Each node chooses for itself and none is elected, so that each part of a
 * partitioned fleet has its own coordinator.
 */
import {fnvHash} from '../../base/fnv_hash.js';
import type {ZonedHost, ZoneReachability} from './zone_reachability.js';

/** Chooses coordinators for one node. */
export interface CoordinatorChooser<T extends ZonedHost> {
  /** The first node that is available, which may be this one. */
  choose(organisation: string): T | undefined;
  /** Whether a node cannot be reached, or could not be reached recently. */
  isUnavailable(host: T): boolean;
  /** Whether this node is the first in the order, whatever can be reached. */
  isFirstChoice(organisation: string): boolean;
  /** Share of all nodes that this one can reach, itself included. */
  reachableRatio(): number;
  /**
   * A few random nodes of a zone to probe, to detect whether it is partitioned.
   */
  probeTargets(zone: string, exceptKey?: string): readonly T[];
  /** Zones that have other nodes. */
  zones(): readonly string[];
}

/** Dependencies of a coordinator chooser. */
export interface CoordinatorChooserOptions<T extends ZonedHost> {
  /** Nodes that may coordinate, including this one. */
  readonly hosts: () => Iterable<T>;
  readonly ownHostKey: string;
  readonly reachability: ZoneReachability;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Time for which an order of hosts is cached. */
const ORDER_CACHE_MILLIS = 200;

/** Nodes of a zone that are probed at a time. */
const PROBE_TARGETS_COUNT = 2;

/** Creates the coordinator chooser of one node. */
export function createCoordinatorChooser<T extends ZonedHost>(
  options: CoordinatorChooserOptions<T>,
): CoordinatorChooser<T> {
  const {ownHostKey, nowMillis, reachability} = options;
  const orders = new Map<string, readonly T[]>();
  let hosts: readonly T[] = [];
  let hostsUntilMillis = -Infinity;

  const currentHosts = (): readonly T[] => {
    const now = nowMillis();
    if (now < hostsUntilMillis) return hosts;
    hosts = [...options.hosts()];
    hostsUntilMillis = now + ORDER_CACHE_MILLIS;
    orders.clear();
    return hosts;
  };

  const orderOf = (organisation: string): readonly T[] => {
    const current = currentHosts();
    const known = orders.get(organisation);
    if (known !== undefined) return known;
    const order = current
      .map(host => ({host, weight: fnvHash(`${organisation} ${host.hostKey}`)}))
      .sort((a, b) => a.weight - b.weight)
      .map(({host}) => host);
    orders.set(organisation, order);
    return order;
  };

  const isReachable = (host: T): boolean =>
    host.hostKey === ownHostKey || !reachability.isPartitioned(host.zone);

  const isUnavailable = (host: T): boolean =>
    !isReachable(host) || reachability.hasRecentFailure(host);

  const others = (): readonly T[] =>
    currentHosts().filter(({hostKey}) => hostKey !== ownHostKey);

  return {
    choose: organisation =>
      orderOf(organisation).find(host => !isUnavailable(host)),
    isUnavailable,
    isFirstChoice: organisation =>
      orderOf(organisation)[0]?.hostKey === ownHostKey,
    reachableRatio: () => {
      const all = currentHosts();
      return all.length === 0 ? 1 : all.filter(isReachable).length / all.length;
    },
    probeTargets: (zone, exceptKey) => {
      const candidates = others().filter(
        host => host.zone === zone && host.hostKey !== exceptKey,
      );
      const chosen: T[] = [];
      while (chosen.length < PROBE_TARGETS_COUNT && candidates.length > 0) {
        const index = Math.floor(options.random() * candidates.length);
        chosen.push(...candidates.splice(index, 1));
      }
      return chosen;
    },
    zones: () => [...new Set(others().map(({zone}) => zone))],
  };
}
