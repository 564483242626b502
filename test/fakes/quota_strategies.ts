/**
 * Strategies to enforce a quota in a fleet: the one that the daemon uses, and alternatives
 * for comparison.
 */
import {createCoordinatorChooser} from '../../src/process/quota/coordinator_chooser.js';
import {createQuotaCoordinator} from '../../src/process/quota/quota_coordinator.js';
import {
  createQuotaEnforcer,
  MAX_WAIT_MILLIS,
} from '../../src/process/quota/quota_enforcer.js';
import {createQuotaLimiter} from '../../src/process/quota/quota_limiter.js';
import type {ZonedHost} from '../../src/process/quota/zone_reachability.js';
import {createZoneReachability} from '../../src/process/quota/zone_reachability.js';
import {
  decodeQuotaAllowances,
  decodeQuotaReport,
  encodeQuotaAllowances,
  encodeQuotaReport,
} from '../../src/protocol/quota_codec.js';
import type {QuotaNodeOptions, QuotaStrategy} from './quota_simulation.js';
import {zoneOf} from './quota_simulation.js';

interface SimulatedHost extends ZonedHost {
  readonly index: number;
}

/** Nodes report counts to a coordinator, which returns the ratio to admit; used by the daemon. */
export const coordinatedCounts: QuotaStrategy = options => {
  const {index, fleet, nowMillis, random} = options;
  const {bound, clock} = fleet;
  const hosts: readonly SimulatedHost[] = hostsOf(fleet.nodesCount);
  const ownHostKey = hosts[index]!.hostKey;
  const reachability = createZoneReachability(nowMillis);
  const coordinatorChooser = createCoordinatorChooser<SimulatedHost>({
    hosts: () => hosts,
    ownHostKey,
    reachability,
    nowMillis,
    random,
  });
  const coordinator = createQuotaCoordinator({
    quotaOf: () => fleet.organisation().quota,
    bound: () => bound,
    isFirstChoice: coordinatorChooser.isFirstChoice,
    reachableRatio: coordinatorChooser.reachableRatio,
    nowMillis,
  });
  const enforcer = createQuotaEnforcer<SimulatedHost>({
    reporterId: `${String(index)}/${String(options.startsCount)}`,
    ownHostKey,
    zone: hosts[index]!.zone,
    reachability,
    coordinator,
    coordinatorChooser,
    limiter: createQuotaLimiter({
      bound: () => bound,
      nodesCount: () => fleet.nodesCount,
      nowMillis,
      random,
    }),
    send: async (host, report) => {
      const message = encodeQuotaReport(report).toString('latin1');
      const result = await options.send(host.index, message);
      if (result.kind !== 'answered') return result;
      const response = Buffer.from(result.response, 'latin1');
      const allowances = decodeQuotaAllowances(response) ?? [];
      return {kind: 'answered', allowances};
    },
    waitTimeout: () =>
      new Promise(resolve => {
        clock.schedule(MAX_WAIT_MILLIS, resolve);
      }),
  });
  return {
    admit: async rank => {
      const organisation = fleet.organisation();
      const decision = await enforcer.decide(organisation, rank);
      if (decision.kind !== 'admitted') return false;
      enforcer.recordRan(organisation);
      return true;
    },
    tick: enforcer.tick,
    receive: message => {
      const report = decodeQuotaReport(Buffer.from(message, 'latin1'));
      if (report === undefined) return '';
      return encodeQuotaAllowances(enforcer.receive(report)).toString('latin1');
    },
  };
};

let cachedHosts: readonly SimulatedHost[] = [];

function hostsOf(nodesCount: number): readonly SimulatedHost[] {
  if (cachedHosts.length !== nodesCount) {
    cachedHosts = Array.from({length: nodesCount}, (_, index) => ({
      index,
      hostKey: `10.0.0.${String(index)}:80`,
      zone: `zone-${String(zoneOf(index))}`,
    }));
  }
  return cachedHosts;
}

/** Each node enforces an equal share of the quota, without messages. */
export const evenShares: QuotaStrategy = ({fleet, nowMillis}) => {
  const bucket = createBucket(nowMillis, () => {
    const {ratePerSecond, burstCount} = fleet.organisation().quota!;
    const {nodesCount} = fleet;
    return {
      ratePerSecond: ratePerSecond / nodesCount,
      burstCount: Math.max(1, burstCount / nodesCount),
    };
  });
  return {
    admit: () => bucket.tryTake(),
    tick: () => undefined,
    receive: () => '',
  };
};

/** Time slots of a window, for which nodes exchange counts. */
const SLOT_MILLIS = 500;
const SLOTS_COUNT = 10;

/** Number of nodes that each node sends its counts to at each tick. */
const FANOUT_COUNT = 3;

/** Nodes gossip the counts of all nodes by time slot. */
export const exchangedCounts: QuotaStrategy = options => {
  const {index, fleet, random} = options;
  /** Counts by slot, node and start; they only grow, so the larger one is newer. */
  const counts = new Map<string, number>();
  // Slots must be the same on all nodes, so they use the simulation's clock.
  const currentSlot = (): number =>
    Math.floor(fleet.clock.nowMillis() / SLOT_MILLIS);
  const merge = (message: string): void => {
    for (const [key, count] of JSON.parse(message) as [string, number][]) {
      counts.set(key, Math.max(counts.get(key) ?? 0, count));
    }
  };
  const expire = (): void => {
    for (const key of counts.keys()) {
      const slot = Number(key.split('/', 1)[0]);
      if (slot <= currentSlot() - SLOTS_COUNT) counts.delete(key);
    }
  };
  return {
    admit: () => {
      expire();
      let sum = 0;
      for (const count of counts.values()) sum += count;
      const {ratePerSecond, burstCount} = fleet.organisation().quota!;
      const windowSeconds = (SLOT_MILLIS * SLOTS_COUNT) / 1000;
      if (sum >= ratePerSecond * windowSeconds + burstCount) return false;
      const start = String(options.startsCount);
      const key = `${String(currentSlot())}/${String(index)}/${start}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
      return true;
    },
    tick: () => {
      expire();
      if (counts.size === 0) return;
      const message = JSON.stringify([...counts]);
      for (let sentCount = 0; sentCount < FANOUT_COUNT; sentCount += 1) {
        const to = Math.floor(random() * fleet.nodesCount);
        if (to !== index) void options.send(to, message);
      }
    },
    receive: message => {
      merge(message);
      return '';
    },
  };
};

/** Tokens of a lease, as a ratio of those that the coordinator has left. */
const LEASE_RATIO = 0.1;
const LEASE_MILLIS = 1000;

/** A coordinator leases tokens to nodes in advance. */
export const leasedTokens: QuotaStrategy = options => {
  const {fleet, nowMillis, index} = options;
  const bucket = createBucket(nowMillis, () => fleet.organisation().quota!);
  let tokens = 0;
  let leaseExpiryMillis = 0;
  let pendingRequest: Promise<void> | undefined;
  const grant = (): number => {
    const available = bucket.available();
    const count = Math.min(
      Math.floor(available),
      Math.max(1, Math.floor(available * LEASE_RATIO)),
    );
    bucket.take(count);
    return count;
  };
  const requestLease = (): Promise<void> => {
    pendingRequest ??= requestTokens(options, index)
      .then(response => {
        const granted = response === undefined ? 0 : Number(response);
        tokens = (nowMillis() < leaseExpiryMillis ? tokens : 0) + granted;
        leaseExpiryMillis = nowMillis() + LEASE_MILLIS;
      })
      .finally(() => {
        pendingRequest = undefined;
      });
    return pendingRequest;
  };
  return {
    admit: async () => {
      if (tokens < 1 || nowMillis() >= leaseExpiryMillis) {
        tokens = 0;
        await requestLease();
      }
      if (tokens < 1) return false;
      tokens -= 1;
      if (tokens < 1) void requestLease();
      return true;
    },
    tick: () => undefined,
    receive: () => String(grant()),
  };
};

/** Requests a lease from the first of three nodes that responds, in the order of their indices. */
async function requestTokens(
  options: QuotaNodeOptions,
  ownIndex: number,
): Promise<string | undefined> {
  for (let index = 0; index < 3; index += 1) {
    if (index === ownIndex) continue;
    const result = await options.send(index, 'lease');
    if (result.kind === 'answered') return result.response;
  }
  return undefined;
}

interface BucketLimits {
  readonly ratePerSecond: number;
  readonly burstCount: number;
}

function createBucket(nowMillis: () => number, limits: () => BucketLimits) {
  let tokens = limits().burstCount;
  let refilledMillis = nowMillis();
  const refill = (): void => {
    const {ratePerSecond, burstCount} = limits();
    const added = (ratePerSecond * (nowMillis() - refilledMillis)) / 1000;
    tokens = Math.min(burstCount, tokens + added);
    refilledMillis = nowMillis();
  };
  return {
    available: () => {
      refill();
      return Math.max(0, tokens);
    },
    take: (count: number) => {
      tokens -= count;
    },
    tryTake: () => {
      refill();
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
