/**
 * Simulates a fleet of nodes that enforce the quota of one organisation. Measures how far
 * any window exceeds the quota, the ratio of requests served, and the message traffic.
 */
import type {Organisation} from '../../src/version/organisation.js';
import type {QuotaBound} from '../../src/process/settings/node_settings.js';
import type {EventClock} from './event_clock.js';
import {createEventClock} from './event_clock.js';
import {createSeededRandom} from './seeded_random.js';

/** A node that enforces the quota with one strategy. */
export interface QuotaNode {
  /** Whether to run a request of this rank. */
  admit(rank: number): boolean | Promise<boolean>;
  /** Called every 200 ms. */
  tick(): void;
  /** Handles a message of another node and returns the response. */
  receive(message: string): string;
}

export interface QuotaNodeOptions {
  readonly index: number;
  readonly fleet: QuotaFleet;
  /** Earlier starts of the node. */
  readonly startsCount: number;
  readonly nowMillis: () => number;
  readonly random: () => number;
  readonly send: (index: number, message: string) => Promise<MessageResult>;
}

export type MessageResult =
  | {readonly kind: 'answered'; readonly response: string}
  | {readonly kind: 'silent'}
  | {readonly kind: 'closed'};

/** State shared by all nodes of a fleet. */
export interface QuotaFleet {
  readonly nodesCount: number;
  readonly zonesCount: number;
  organisation(): Organisation;
  readonly bound: QuotaBound;
  readonly clock: EventClock;
}

/** Creates a node that enforces the quota. */
export type QuotaStrategy = (parts: QuotaNodeOptions) => QuotaNode;

/** Load and failures of a fleet. */
export interface QuotaScenario {
  readonly nodesCount: number;
  readonly ratePerSecond: number;
  readonly seed: number;
  readonly durationMillis: number;
  /** Offered requests as a ratio of the quota's rate, by time. */
  readonly offeredRatio: (millis: number) => number;
  /** Returns the index of the node that receives a request; the default is random. */
  readonly chooseEntryIndex?: (random: () => number) => number;
  /** Whether messages are delivered between two zones, by time. */
  readonly isConnected?: (from: number, to: number, millis: number) => boolean;
  /** Ratio of nodes that are killed at this time and restart half a second later. */
  readonly killed?: {readonly atMillis: number; readonly ratio: number};
  /** Node that is paused for three seconds. */
  readonly paused?: {readonly atMillis: number; readonly index: number};
  /** Ratio of messages that are lost. */
  readonly lostRatio?: number;
  /** Ratio of the quota that is configured, by time. */
  readonly quotaRatio?: (millis: number) => number;
}

export interface QuotaResult {
  /** Maximum ratio of requests that ran in a window to the tolerated number. */
  readonly worstRatio: number;
  /** Ratio of requests that ran to the number that a single token bucket admits. */
  readonly servedRatio: number;
  /** Ratios of urgent and of other requests that ran while the offered load exceeded the quota. */
  readonly urgentRatio: number;
  readonly otherRatio: number;
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
}

const WINDOW_MILLIS = 5000;
const ZONES_COUNT = 3;
const TICK_MILLIS = 200;
const STEP_MILLIS = 1;
const ONE_WAY_MILLIS = 1;
const TIMEOUT_MILLIS = 400;
const RESTART_MILLIS = 500;
const PAUSE_MILLIS = 3000;
const BOUND: QuotaBound = {
  windowMillis: WINDOW_MILLIS,
  overageRatio: 0.25,
  slackCount: 20,
};

/** Returns the zone of a node; nodes are distributed round-robin. */
export function zoneOf(index: number): number {
  return index % ZONES_COUNT;
}

/** Simulates a scenario. */
export async function simulateQuota(
  strategy: QuotaStrategy,
  scenario: QuotaScenario,
): Promise<QuotaResult> {
  const {nodesCount, ratePerSecond, durationMillis} = scenario;
  const random = createSeededRandom(scenario.seed);
  const clock = createEventClock();
  const quotaRatio = scenario.quotaRatio ?? (() => 1);
  const fleet: QuotaFleet = {
    nodesCount,
    zonesCount: ZONES_COUNT,
    bound: BOUND,
    clock,
    organisation: () => ({
      name: 'acme',
      keyDigests: [],
      rank: 0,
      quota: {
        ratePerSecond: ratePerSecond * quotaRatio(clock.nowMillis()),
        burstCount: ratePerSecond * quotaRatio(clock.nowMillis()),
      },
    }),
  };
  const downUntilMillis = new Array<number>(nodesCount).fill(-1);
  const pausedUntilMillis = new Array<number>(nodesCount).fill(-1);
  const startCounts = new Array<number>(nodesCount).fill(0);
  const nodes: QuotaNode[] = [];
  let messagesCount = 0;
  let bytesCount = 0;

  const send = (
    from: number,
    to: number,
    message: string,
  ): Promise<MessageResult> => {
    messagesCount += 1;
    bytesCount += message.length;
    const now = clock.nowMillis();
    return new Promise(resolve => {
      const endAfter = (
        millis: number,
        kind: Exclude<MessageResult['kind'], 'answered'>,
      ): void => {
        clock.schedule(millis, () => {
          resolve({kind});
        });
      };
      const canReach = scenario.isConnected?.(zoneOf(from), zoneOf(to), now);
      const isLost = random() < (scenario.lostRatio ?? 0);
      if (canReach === false || isLost) {
        endAfter(TIMEOUT_MILLIS, 'silent');
        return;
      }
      if ((downUntilMillis[to] ?? 0) > now) {
        endAfter(2 * ONE_WAY_MILLIS, 'closed');
        return;
      }
      const waitMillis = Math.max(0, (pausedUntilMillis[to] ?? 0) - now);
      if (waitMillis > TIMEOUT_MILLIS) endAfter(TIMEOUT_MILLIS, 'silent');
      clock.schedule(waitMillis + ONE_WAY_MILLIS, () => {
        const response = nodes[to]?.receive(message) ?? '';
        messagesCount += 1;
        bytesCount += response.length;
        clock.schedule(ONE_WAY_MILLIS, () => {
          resolve({kind: 'answered', response});
        });
      });
    });
  };

  const start = (index: number): void => {
    const startsCount = startCounts[index] ?? 0;
    startCounts[index] = startsCount + 1;
    nodes[index] = strategy({
      index,
      fleet,
      startsCount,
      // Each node's clock has a different offset: strategies may use only differences.
      nowMillis: () => clock.nowMillis() + index * 1000,
      random,
      send: (to, message) => send(index, to, message),
    });
  };
  for (let index = 0; index < nodesCount; index += 1) start(index);

  const ranMillis: number[] = [];
  const offeredMillis: number[] = [];
  const offered = [0, 0];
  const ran = [0, 0];
  const isRunning = (index: number): boolean =>
    (downUntilMillis[index] ?? 0) <= clock.nowMillis() &&
    (pausedUntilMillis[index] ?? 0) <= clock.nowMillis();

  const offerRequest = async (): Promise<void> => {
    const chosen =
      scenario.chooseEntryIndex?.(random) ?? Math.floor(random() * nodesCount);
    const index = isRunning(chosen)
      ? chosen
      : nextRunningIndex(chosen, nodesCount, isRunning);
    if (!isRunning(index)) return;
    const isUrgent = random() < 0.5;
    const atMillis = clock.nowMillis();
    offeredMillis.push(atMillis);
    const kindIndex = isUrgent ? 0 : 1;
    const isMeasured = scenario.offeredRatio(atMillis) > 1;
    if (isMeasured) offered[kindIndex] = (offered[kindIndex] ?? 0) + 1;
    const admitted = nodes[index]?.admit(isUrgent ? 0 : 2);
    if (admitted !== true && !(await admitted)) return;
    ranMillis.push(clock.nowMillis());
    if (isMeasured) ran[kindIndex] = (ran[kindIndex] ?? 0) + 1;
  };

  let nextTickMillis = 0;
  for (let now = 0; now < durationMillis; now += STEP_MILLIS) {
    clock.runUntil(now);
    if (scenario.killed?.atMillis === now) {
      for (let index = 0; index < nodesCount; index += 1) {
        if (random() >= scenario.killed.ratio) continue;
        downUntilMillis[index] = now + RESTART_MILLIS;
        start(index);
      }
    }
    if (scenario.paused?.atMillis === now) {
      pausedUntilMillis[scenario.paused.index] = now + PAUSE_MILLIS;
    }
    if (now >= nextTickMillis) {
      nextTickMillis += TICK_MILLIS;
      for (const [index, node] of nodes.entries()) {
        if (!isRunning(index)) continue;
        clock.schedule(random() * TICK_MILLIS, () => {
          if (nodes[index] === node) node.tick();
        });
      }
    }
    const expectedCount =
      (ratePerSecond * scenario.offeredRatio(now) * STEP_MILLIS) / 1000;
    for (let left = poisson(expectedCount, random); left > 0; left -= 1) {
      void offerRequest();
    }
    await flushMicrotasks();
  }
  const rateAt = (millis: number) => ratePerSecond * quotaRatio(millis);
  return {
    worstRatio: worstWindowRatio(ranMillis, rateAt),
    servedRatio: ranMillis.length / idealServedCount(offeredMillis, rateAt),
    urgentRatio: (ran[0] ?? 0) / Math.max(1, offered[0] ?? 0),
    otherRatio: (ran[1] ?? 0) / Math.max(1, offered[1] ?? 0),
    messagesPerSecond: (messagesCount * 1000) / durationMillis / nodesCount,
    bytesPerSecond: (bytesCount * 1000) / durationMillis / nodesCount,
  };
}

/** Runs the continuations of resolved promises, up to four in a chain. */
async function flushMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
}

function nextRunningIndex(
  chosen: number,
  nodesCount: number,
  isRunning: (index: number) => boolean,
): number {
  for (let step = 1; step < nodesCount; step += 1) {
    const index = (chosen + step) % nodesCount;
    if (isRunning(index)) return index;
  }
  return chosen;
}

function poisson(mean: number, random: () => number): number {
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) count += 1;
  return count;
}

/** Uses the higher rate for windows in which the quota changes. */
function worstWindowRatio(
  ranMillis: readonly number[],
  rateAt: (millis: number) => number,
): number {
  let worst = 0;
  let first = 0;
  for (const [last, millis] of ranMillis.entries()) {
    while ((ranMillis[first] ?? 0) <= millis - WINDOW_MILLIS) first += 1;
    const rate = Math.max(rateAt(millis), rateAt(millis - WINDOW_MILLIS));
    const limit = rate * (WINDOW_MILLIS / 1000) + rate;
    const bound = limit * (1 + BOUND.overageRatio) + BOUND.slackCount;
    worst = Math.max(worst, (last - first + 1) / bound);
  }
  return worst;
}

/** Returns the number of requests that a single token bucket with the quota admits. */
function idealServedCount(
  offeredMillis: readonly number[],
  rateAt: (millis: number) => number,
): number {
  let tokens = rateAt(0);
  let beforeMillis = 0;
  let count = 0;
  for (const millis of offeredMillis) {
    const rate = rateAt(millis);
    tokens = Math.min(rate, tokens + (rate * (millis - beforeMillis)) / 1000);
    beforeMillis = millis;
    if (tokens < 1) continue;
    tokens -= 1;
    count += 1;
  }
  return Math.max(1, count);
}
