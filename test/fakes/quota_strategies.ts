/**
 * Ways of keeping a quota over a fleet: the one in use, and others that it is
 * compared with.
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

interface ReplayedHost extends ZonedHost {
  readonly index: number;
}

/** Counts reported to a coordinator, which tells what share to admit. */
export const coordinatedCounts: QuotaStrategy = parts => {
  const {index, fleet, nowMillis, random} = parts;
  const {bound, clock} = fleet;
  const hosts: readonly ReplayedHost[] = hostsOf(fleet.nodesCount);
  const ownHostKey = hosts[index]!.hostKey;
  const reachability = createZoneReachability(nowMillis);
  const coordinatorChooser = createCoordinatorChooser<ReplayedHost>({
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
  const exchange = createQuotaEnforcer<ReplayedHost>({
    reporterId: `${String(index)}/${String(parts.startsCount)}`,
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
      const end = await parts.send(host.index, message);
      if (end.kind !== 'answered') return end;
      const answer = Buffer.from(end.response, 'latin1');
      const allowances = decodeQuotaAllowances(answer) ?? [];
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
      const decision = await exchange.decide(organisation, rank);
      if (decision.kind !== 'admitted') return false;
      exchange.recordRan(organisation);
      return true;
    },
    tick: exchange.tick,
    receive: message => {
      const report = decodeQuotaReport(Buffer.from(message, 'latin1'));
      if (report === undefined) return '';
      return encodeQuotaAllowances(exchange.receive(report)).toString('latin1');
    },
  };
};

let cachedHosts: readonly ReplayedHost[] = [];

function hostsOf(nodesCount: number): readonly ReplayedHost[] {
  if (cachedHosts.length !== nodesCount) {
    cachedHosts = Array.from({length: nodesCount}, (_, index) => ({
      index,
      hostKey: `10.0.0.${String(index)}:80`,
      zone: `zone-${String(zoneOf(index))}`,
    }));
  }
  return cachedHosts;
}

/** An equal share of the quota for each node, without messages. */
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

/** Slots of a window, in which counts of nodes are exchanged. */
const SLOT_MILLIS = 500;
const SLOTS_COUNT = 10;

/** Nodes that each node tells its counts at a time. */
const FANOUT_COUNT = 3;

/** Counts of all nodes by slot, which nodes tell each other. */
export const exchangedCounts: QuotaStrategy = parts => {
  const {index, fleet, random} = parts;
  /** Counts by node and slot; they only grow, so the larger is the later. */
  const counts = new Map<string, number>();
  // Nodes have to agree on slots, so the clock of all is taken.
  const slotNow = (): number =>
    Math.floor(fleet.clock.nowMillis() / SLOT_MILLIS);
  const merge = (message: string): void => {
    for (const [key, count] of JSON.parse(message) as [string, number][]) {
      counts.set(key, Math.max(counts.get(key) ?? 0, count));
    }
  };
  const expire = (): void => {
    for (const key of counts.keys()) {
      const slot = Number(key.split('/', 1)[0]);
      if (slot <= slotNow() - SLOTS_COUNT) counts.delete(key);
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
      const start = String(parts.startsCount);
      const key = `${String(slotNow())}/${String(index)}/${start}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
      return true;
    },
    tick: () => {
      expire();
      if (counts.size === 0) return;
      const message = JSON.stringify([...counts]);
      for (let told = 0; told < FANOUT_COUNT; told += 1) {
        const to = Math.floor(random() * fleet.nodesCount);
        if (to !== index) void parts.send(to, message);
      }
    },
    receive: message => {
      merge(message);
      return '';
    },
  };
};

/** Tokens of a lease, as a part of those that the coordinator has. */
const LEASE_RATIO = 0.1;
const LEASE_MILLIS = 1000;

/** Tokens that a coordinator hands out ahead of need. */
export const leasedTokens: QuotaStrategy = parts => {
  const {fleet, nowMillis, index} = parts;
  const bucket = createBucket(nowMillis, () => fleet.organisation().quota!);
  let tokens = 0;
  let untilMillis = 0;
  let asked: Promise<void> | undefined;
  const grant = (): number => {
    const available = bucket.available();
    const count = Math.min(
      Math.floor(available),
      Math.max(1, Math.floor(available * LEASE_RATIO)),
    );
    bucket.take(count);
    return count;
  };
  const ask = (): Promise<void> => {
    asked ??= askCoordinator(parts, index)
      .then(answer => {
        const granted = answer === undefined ? 0 : Number(answer);
        tokens = (nowMillis() < untilMillis ? tokens : 0) + granted;
        untilMillis = nowMillis() + LEASE_MILLIS;
      })
      .finally(() => {
        asked = undefined;
      });
    return asked;
  };
  return {
    admit: async () => {
      if (tokens < 1 || nowMillis() >= untilMillis) {
        tokens = 0;
        await ask();
      }
      if (tokens < 1) return false;
      tokens -= 1;
      if (tokens < 1) void ask();
      return true;
    },
    tick: () => undefined,
    receive: () => String(grant()),
  };
};

/** The first node that answers, in the order of their positions. */
async function askCoordinator(
  parts: QuotaNodeOptions,
  ownIndex: number,
): Promise<string | undefined> {
  for (let index = 0; index < 3; index += 1) {
    if (index === ownIndex) continue;
    const end = await parts.send(index, 'lease');
    if (end.kind === 'answered') return end.response;
  }
  return undefined;
}

interface BucketLimits {
  readonly ratePerSecond: number;
  readonly burstCount: number;
}

function createBucket(nowMillis: () => number, limits: () => BucketLimits) {
  let tokens = limits().burstCount;
  let atMillis = nowMillis();
  const refill = (): void => {
    const {ratePerSecond, burstCount} = limits();
    const added = (ratePerSecond * (nowMillis() - atMillis)) / 1000;
    tokens = Math.min(burstCount, tokens + added);
    atMillis = nowMillis();
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
