/**
 * Account of one organisation's quota at its coordinator: how many requests the
 * fleet may still run, and which share of the offered requests that is.
 *
 * Load pattern: an organisation sends many times its usual load at all nodes at
 * once. Reports arrive a fraction of a second late, so the account may be
 * overdrawn; the debt is paid back before anything else is admitted, so that
 * the sum over any window longer than the delay stays within the limit.
 */
import type {OrganisationQuota} from '../../version/organisation.js';
import type {QuotaBound} from '../settings/node_settings.js';
import type {QuotaAllowance} from '../../protocol/quota_messages.js';
import {QUOTA_RANKS_COUNT} from '../../protocol/quota_messages.js';

/** Account of one organisation: a token bucket that may be overdrawn. */
export interface QuotaAccount {
  /**
   * Records requests that ran; a negative count reverts requests that did not
   * run.
   */
  recordRan(count: number): void;
  /** Records offered requests by the rank of their route. */
  recordOffered(counts: readonly number[]): void;
  allowance(): QuotaAllowance;
}

/** Dependencies of a quota account. */
export interface QuotaAccountOptions {
  readonly organisation: string;
  /** The current quota; a new configuration may change it. */
  readonly quota: () => OrganisationQuota;
  readonly bound: () => QuotaBound;
  /** Share of the fleet that this coordinator serves. */
  readonly fleetRatio: () => number;
  /**
   * Whether another coordinator may have admitted the burst recently. This one
   * then starts without a burst, and has to learn the demand.
   */
  readonly isTakenOver: boolean;
  readonly nowMillis: () => number;
}

/**
 * Share of the tolerated excess that is admitted deliberately; the rest is for
 * requests that run before their reports arrive.
 */
const PLANNED_EXCESS_RATIO = 0.3;

/** Time in which the demand on an account that was taken over is learned. */
const LEARN_MILLIS = 500;

/** Time in which a surplus is spent, or a debt is paid back. */
const SETTLE_MILLIS = 1000;

/**
 * Time slots in which demand is counted, and the number of them in the
 * estimate.
 */
const SLOT_MILLIS = 200;
const SLOTS_COUNT = 5;

/** Number of slots from which demand that has just risen is estimated. */
const RECENT_SLOTS_COUNT = 2;

const MILLIS_PER_SECOND = 1000;

/** Creates the account of an organisation. */
export function createQuotaAccount(options: QuotaAccountOptions): QuotaAccount {
  const {nowMillis, bound, quota, fleetRatio} = options;

  const ratePerSecond = (): number =>
    quota().ratePerSecond *
    (1 + PLANNED_EXCESS_RATIO * bound().overageRatio) *
    fleetRatio();

  const capacityCount = (): number => {
    const {overageRatio, slackCount} = bound();
    const burst =
      quota().burstCount * (1 + PLANNED_EXCESS_RATIO * overageRatio);
    return (burst + PLANNED_EXCESS_RATIO * slackCount) * fleetRatio();
  };

  let tokensCount = options.isTakenOver ? 0 : capacityCount();
  const settledMillis = options.isTakenOver ? nowMillis() + LEARN_MILLIS : 0;
  let refilledMillis = nowMillis();
  const offered = createSlotCounts();
  const ran = createSlotCounts();

  const refill = (): void => {
    const now = nowMillis();
    const added =
      (ratePerSecond() * (now - refilledMillis)) / MILLIS_PER_SECOND;
    refilledMillis = now;
    tokensCount = Math.min(capacityCount(), tokensCount + added);
  };

  /**
   * Uses the higher of two estimates, so that a sudden demand is detected at
   * once.
   */
  const offeredPerSecond = (rank: number): number => {
    const slot = slotAt(nowMillis());
    return Math.max(
      offered.perSecond(rank, slot, SLOTS_COUNT),
      offered.perSecond(rank, slot, RECENT_SLOTS_COUNT),
    );
  };

  const admittedRatios = (admittedPerSecond: number): readonly number[] => {
    const demands = Array.from({length: QUOTA_RANKS_COUNT}, (_, rank) =>
      offeredPerSecond(rank),
    );
    const demand = demands.reduce((sum, perSecond) => sum + perSecond, 0);
    if (demand <= admittedPerSecond) return [];
    let remaining = admittedPerSecond;
    return demands.map(perSecond => {
      const ratio =
        perSecond === 0 ? Math.sign(remaining) : remaining / perSecond;
      remaining = Math.max(0, remaining - perSecond);
      return Math.min(1, ratio);
    });
  };

  return {
    recordRan: count => {
      refill();
      tokensCount -= count;
      ran.add(0, slotAt(nowMillis()), count);
    },
    recordOffered: counts => {
      const slot = slotAt(nowMillis());
      for (const [rank, count] of counts.entries()) {
        offered.add(rank, slot, count);
      }
    },
    allowance: () => {
      refill();
      const rate = ratePerSecond();
      const settlingPerSecond =
        (tokensCount * MILLIS_PER_SECOND) / SETTLE_MILLIS;
      const debtCount = Math.max(0, -tokensCount);
      return {
        organisation: options.organisation,
        isSettling: nowMillis() < settledMillis,
        admittedRatios: admittedRatios(Math.max(0, rate + settlingPerSecond)),
        returnMillis: (debtCount / Math.max(rate, 1)) * MILLIS_PER_SECOND,
        ranPerSecond: ran.perSecond(0, slotAt(nowMillis()), SLOTS_COUNT),
        limitPerSecond: quota().ratePerSecond,
      };
    },
  };
}

function slotAt(millis: number): number {
  return Math.floor(millis / SLOT_MILLIS);
}

/** Counts by rank in the latest time slots. */
interface SlotCounts {
  add(rank: number, slot: number, count: number): void;
  /** Mean rate over so many slots. */
  perSecond(rank: number, slot: number, slotsCount: number): number;
}

function createSlotCounts(): SlotCounts {
  /** One more than are read, for the slot that has not ended. */
  const length = SLOTS_COUNT + 1;
  const slots = new Float64Array(length).fill(-1);
  const counts = new Float64Array(length * QUOTA_RANKS_COUNT);
  const indexOf = (slot: number): number => slot % length;
  const begin = (slot: number): number => {
    const index = indexOf(slot);
    if (slots[index] === slot) return index;
    slots[index] = slot;
    counts.fill(0, index * QUOTA_RANKS_COUNT, (index + 1) * QUOTA_RANKS_COUNT);
    return index;
  };
  return {
    add: (rank, slot, count) => {
      const index =
        begin(slot) * QUOTA_RANKS_COUNT + Math.min(rank, QUOTA_RANKS_COUNT - 1);
      counts[index] = (counts[index] ?? 0) + count;
    },
    perSecond: (rank, slot, slotsCount) => {
      let sum = 0;
      for (let offset = 0; offset < slotsCount; offset += 1) {
        const index = indexOf(slot - offset);
        if (slots[index] !== slot - offset) continue;
        sum += counts[index * QUOTA_RANKS_COUNT + rank] ?? 0;
      }
      return (sum * MILLIS_PER_SECOND) / (slotsCount * SLOT_MILLIS);
    },
  };
}
