/**
 * Chooses the node that coordinates the quota of an organisation: the first one that
 * can be reached in an order that all nodes find alike (rendezvous hashing).
 *
 * Each node chooses for itself and none is elected, so that each part of a
 * partitioned fleet has a coordinator of its own.
 */
import {fnvHash} from '../../base/fnv_hash.js';
import type {ZonedHost, ZoneReachability} from './zone_reachability.js';

/** Choices of one node. */
export interface CoordinatorChooser<T extends ZonedHost> {
  /** The first that can be reached; it may be the own node. */
  choose(organisation: string): T | undefined;
  /** Whether a node cannot be reached, or could not a moment ago. */
  isUnavailable(host: T): boolean;
  /** Whether the own node is the first, whatever can be reached. */
  isFirstChoice(organisation: string): boolean;
  /** Part of all nodes that this one can reach, itself included. */
  reachableRatio(): number;
  /** A few random nodes of a zone, to find out whether it is cut off. */
  probeTargets(zone: string, exceptKey?: string): readonly T[];
  /** Zones that have other nodes. */
  zones(): readonly string[];
}

/** What a choice needs. */
export interface CoordinatorChooserOptions<T extends ZonedHost> {
  /** Nodes that may coordinate, the own one among them. */
  readonly hosts: () => Iterable<T>;
  readonly ownHostKey: string;
  readonly reachability: ZoneReachability;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Time for which an order of hosts is kept. */
const ORDER_MILLIS = 200;

/** Nodes of a zone that are probed at a time. */
const WITNESSES_COUNT = 2;

/** Creates the choice of one node. */
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
    hostsUntilMillis = now + ORDER_MILLIS;
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

  const isReached = (host: T): boolean =>
    host.hostKey === ownHostKey || !reachability.isPartitioned(host.zone);

  const isUnavailable = (host: T): boolean =>
    !isReached(host) || reachability.hasRecentFailure(host);

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
      return all.length === 0 ? 1 : all.filter(isReached).length / all.length;
    },
    probeTargets: (zone, exceptKey) => {
      const left = others().filter(
        host => host.zone === zone && host.hostKey !== exceptKey,
      );
      const chosen: T[] = [];
      while (chosen.length < WITNESSES_COUNT && left.length > 0) {
        const index = Math.floor(options.random() * left.length);
        chosen.push(...left.splice(index, 1));
      }
      return chosen;
    },
    zones: () => [...new Set(others().map(({zone}) => zone))],
  };
}
