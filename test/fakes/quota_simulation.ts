/**
 * A fleet of nodes that keep the quota of one organisation, replayed on a clock of
 * events: what runs in any window, what is refused, and what it costs in messages.
 */
import type {Organisation} from '../../src/version/organisation.js';
import type {QuotaBound} from '../../src/process/settings/node_settings.js';
import type {EventClock} from './event_clock.js';
import {createEventClock} from './event_clock.js';
import {createSeededRandom} from './seeded_random.js';

/** One node of a fleet, by one way of keeping quotas. */
export interface QuotaNode {
  /** Whether a request runs. */
  admit(rank: number): boolean | Promise<boolean>;
  /** Called every 200 ms. */
  tick(): void;
  /** Takes a message of another node and answers it. */
  receive(message: string): string;
}

/** What a node is made of. */
export interface QuotaNodeOptions {
  readonly index: number;
  readonly fleet: QuotaFleet;
  /** Rises with each start of the node. */
  readonly startsCount: number;
  readonly nowMillis: () => number;
  readonly random: () => number;
  readonly send: (index: number, message: string) => Promise<MessageResult>;
}

/** What came of a message. */
export type MessageResult =
  | {readonly kind: 'answered'; readonly response: string}
  | {readonly kind: 'silent'}
  | {readonly kind: 'closed'};

/** What all nodes of a fleet know. */
export interface QuotaFleet {
  readonly nodesCount: number;
  readonly zonesCount: number;
  organisation(): Organisation;
  readonly bound: QuotaBound;
  readonly clock: EventClock;
}

/** A way of keeping quotas. */
export type QuotaStrategy = (parts: QuotaNodeOptions) => QuotaNode;

/** What happens to a fleet. */
export interface QuotaScenario {
  readonly nodesCount: number;
  readonly ratePerSecond: number;
  readonly seed: number;
  readonly durationMillis: number;
  /** Requests offered in relation to the rate of the quota, at a time. */
  readonly offeredRatio: (millis: number) => number;
  /** Node that a request enters at; any, if left out. */
  readonly chooseEntryIndex?: (random: () => number) => number;
  /** Whether messages pass between two zones, at a time. */
  readonly isConnected?: (from: number, to: number, millis: number) => boolean;
  /** Part of the nodes that is killed at a time, and back half a second later. */
  readonly killed?: {readonly atMillis: number; readonly ratio: number};
  /** Node that stands still for three seconds. */
  readonly paused?: {readonly atMillis: number; readonly index: number};
  /** Part of the messages that is lost. */
  readonly lostRatio?: number;
  /** Part of the quota that is in force, at a time. */
  readonly quotaRatio?: (millis: number) => number;
}

/** What came of it. */
export interface QuotaResult {
  /** Most requests that ran in any window, against what is tolerated. */
  readonly worstRatio: number;
  /** What ran, against what a single bucket would have let run. */
  readonly servedRatio: number;
  /** Part of the urgent requests and of the others that ran while it was limited. */
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
const SILENT_MILLIS = 400;
const DOWN_MILLIS = 500;
const PAUSE_MILLIS = 3000;
const BOUND: QuotaBound = {
  windowMillis: WINDOW_MILLIS,
  overageRatio: 0.25,
  slackCount: 20,
};

/** Zone of a node; nodes are dealt out in turn. */
export function zoneOf(index: number): number {
  return index % ZONES_COUNT;
}

/** Plays a scenario. */
export async function simulateQuota(
  way: QuotaStrategy,
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
  const downUntil = new Array<number>(nodesCount).fill(-1);
  const pausedUntil = new Array<number>(nodesCount).fill(-1);
  const starts = new Array<number>(nodesCount).fill(0);
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
      const passes = scenario.isConnected?.(zoneOf(from), zoneOf(to), now);
      const isLost = random() < (scenario.lostRatio ?? 0);
      if (passes === false || isLost) {
        endAfter(SILENT_MILLIS, 'silent');
        return;
      }
      if ((downUntil[to] ?? 0) > now) {
        endAfter(2 * ONE_WAY_MILLIS, 'closed');
        return;
      }
      const waitMillis = Math.max(0, (pausedUntil[to] ?? 0) - now);
      if (waitMillis > SILENT_MILLIS) endAfter(SILENT_MILLIS, 'silent');
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
    const startsCount = starts[index] ?? 0;
    starts[index] = startsCount + 1;
    nodes[index] = way({
      index,
      fleet,
      startsCount,
      // Clocks of nodes run apart; only differences count.
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
  const isUp = (index: number): boolean =>
    (downUntil[index] ?? 0) <= clock.nowMillis() &&
    (pausedUntil[index] ?? 0) <= clock.nowMillis();

  const offer = async (): Promise<void> => {
    const chosen =
      scenario.chooseEntryIndex?.(random) ?? Math.floor(random() * nodesCount);
    const index = isUp(chosen) ? chosen : nextUp(chosen, nodesCount, isUp);
    if (!isUp(index)) return;
    const isUrgent = random() < 0.5;
    const atMillis = clock.nowMillis();
    offeredMillis.push(atMillis);
    const place = isUrgent ? 0 : 1;
    const isMeasured = scenario.offeredRatio(atMillis) > 1;
    if (isMeasured) offered[place] = (offered[place] ?? 0) + 1;
    const admitted = nodes[index]?.admit(isUrgent ? 0 : 2);
    if (admitted !== true && !(await admitted)) return;
    ranMillis.push(clock.nowMillis());
    if (isMeasured) ran[place] = (ran[place] ?? 0) + 1;
  };

  let nextTick = 0;
  for (let now = 0; now < durationMillis; now += STEP_MILLIS) {
    clock.runUntil(now);
    if (scenario.killed?.atMillis === now) {
      for (let index = 0; index < nodesCount; index += 1) {
        if (random() >= scenario.killed.ratio) continue;
        downUntil[index] = now + DOWN_MILLIS;
        start(index);
      }
    }
    if (scenario.paused?.atMillis === now) {
      pausedUntil[scenario.paused.index] = now + PAUSE_MILLIS;
    }
    if (now >= nextTick) {
      nextTick += TICK_MILLIS;
      for (const [index, node] of nodes.entries()) {
        if (!isUp(index)) continue;
        clock.schedule(random() * TICK_MILLIS, () => {
          if (nodes[index] === node) node.tick();
        });
      }
    }
    const expected =
      (ratePerSecond * scenario.offeredRatio(now) * STEP_MILLIS) / 1000;
    for (let left = poisson(expected, random); left > 0; left -= 1) {
      void offer();
    }
    await settled();
  }
  const bucketAt = (millis: number) => ratePerSecond * quotaRatio(millis);
  return {
    worstRatio: worstWindow(ranMillis, bucketAt),
    servedRatio: ranMillis.length / idealCount(offeredMillis, bucketAt),
    urgentRatio: (ran[0] ?? 0) / Math.max(1, offered[0] ?? 0),
    otherRatio: (ran[1] ?? 0) / Math.max(1, offered[1] ?? 0),
    messagesPerSecond: (messagesCount * 1000) / durationMillis / nodesCount,
    bytesPerSecond: (bytesCount * 1000) / durationMillis / nodesCount,
  };
}

/** Lets what was resolved go on. */
async function settled(): Promise<void> {
  for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
}

function nextUp(
  chosen: number,
  nodesCount: number,
  isUp: (index: number) => boolean,
): number {
  for (let step = 1; step < nodesCount; step += 1) {
    const index = (chosen + step) % nodesCount;
    if (isUp(index)) return index;
  }
  return chosen;
}

function poisson(mean: number, random: () => number): number {
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) count += 1;
  return count;
}

/** Windows in which the quota changes are left out. */
function worstWindow(
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

/** Requests that one bucket with the quota would let run. */
function idealCount(
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
