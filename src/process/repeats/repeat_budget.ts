/**
 * This node's share of the bound on repeats that each service receives from
 * the whole fleet.
 *
 * Load pattern: a service fails part of its requests and every node repeats
 * them; the repeats and the calls made for them keep the service overloaded
 * after its fault is over. The bound counts over all nodes, which do not ask
 * each other: each spends in proportion to the requests it sends itself, and
 * an equal part of the fixed slack.
 */
import type {CallCounts} from '../admission/call_trees.js';
import type {RepeatBound} from '../settings/node_settings.js';
import type {WindowSum} from './window_sum.js';
import {createWindowSum} from './window_sum.js';

/** Budget of one node. */
export interface RepeatBudget {
  /** Counts requests that this node sends, or refuses, itself. */
  recordRequest(counts: CallCounts): void;
  /** Counts calls that others are expected to make for what is let in here. */
  recordExpectedCalls(counts: CallCounts): void;
  /** Takes one repeat and the calls it will cause, or nothing at all. */
  tryTake(counts: CallCounts): boolean;
  /**
   * Takes a repeat of a request that an upstream rejected, if it is in time:
   * what would be spent in the first second is kept for the whole window.
   */
  tryTakePaced(counts: CallCounts): boolean;
  /**
   * Takes a repeat of what most likely never arrived, from all that the bound
   * holds for this node: the part that other repeats leave is for these.
   */
  tryTakeReserved(counts: CallCounts): boolean;
  /** Takes a repeat whatever is left. */
  takeUnchecked(counts: CallCounts): void;
  /** What was spent of this node's share of the current window, by service. */
  usage(): readonly BudgetUsage[];
}

/** Use of one service's budget. */
export interface BudgetUsage {
  readonly service: string;
  readonly spentCount: number;
  readonly allowedCount: number;
}

/** What a budget needs. */
export interface RepeatBudgetOptions {
  /** The bound of now; settings may change it. */
  readonly bound: () => RepeatBound;
  readonly nowMillis: () => number;
  /** Nodes of the fleet that may spend. */
  readonly nodesCount: () => number;
}

/** Parts of the window; the oldest is dropped as a new one begins. */
const PARTS_COUNT = 10;

/**
 * Parts in which repeats count. The newest has just begun when the oldest is
 * dropped, and what was spent at the end of that one is not a window old: with as
 * many parts as the window has, a service could get twice its repeats within one.
 */
const SPENT_PARTS_COUNT = PARTS_COUNT + 1;

/**
 * Share of the bound that is spent for requests of this node, and for calls that
 * other nodes will make and count as theirs. Together three quarters, for nodes
 * that come and go and for edges of windows.
 */
const SPENT_RATIO = 0.6;
const EXPECTED_RATIO = 0.15;

/** Share of the fixed slack that is spent: requests below it are few. */
const SLACK_RATIO = 0.375;

/**
 * Share of the budget that repeats of rejected requests take in one part. In a
 * service that rejects half of everything they would else all be gone within
 * two parts, spent on requests of which most are let down later.
 */
const PACED_RATIO = 0.2;

/** Share of the bound that usual repeats take. */
const USUAL_RATIO = SPENT_RATIO + EXPECTED_RATIO;

/** The whole bound, in shares of usual repeats. */
const RESERVED_RATIO = 1 / USUAL_RATIO;

/**
 * Share of a whole window's usual repeats that the first window of a process takes:
 * what usual repeats leave of the bound, as a former start of the node may have
 * spent its share a moment before. Where a fleet lost power at its bound, a service
 * got 328 repeats for 240 without it (replay of one node that spends all it may
 * before and after).
 */
const STARTED_RATIO = (1 - USUAL_RATIO) / USUAL_RATIO;

interface Usage {
  readonly requests: WindowSum;
  readonly expected: WindowSum;
  readonly repeats: WindowSum;
  pacedPart: number;
  pacedCount: number;
}

/** Creates a budget without usage. */
export function createRepeatBudget(options: RepeatBudgetOptions): RepeatBudget {
  const {nowMillis} = options;
  const startedMillis = nowMillis();
  const usages = new Map<string, Usage>();

  const partOf = (): number =>
    Math.floor(nowMillis() / (options.bound().windowMillis / PARTS_COUNT));

  const usageOf = (service: string): Usage => {
    const known = usages.get(service);
    if (known !== undefined) return known;
    const created = createUsage();
    usages.set(service, created);
    return created;
  };

  const allowedCount = (usage: Usage): number => {
    const bound = options.bound();
    const part = partOf();
    const own =
      SPENT_RATIO * usage.requests.largest(part) +
      EXPECTED_RATIO * usage.expected.largest(part);
    const slack = bound.slackCount / Math.max(1, options.nodesCount());
    return startRatio() * bound.ratio * own + SLACK_RATIO * slack;
  };

  /**
   * Requests since the start are a part of a window's: until they are as large a
   * part of it as may be spent, nothing has to be held back.
   */
  const startRatio = (): number => {
    const {windowMillis} = options.bound();
    const ageMillis = nowMillis() - startedMillis;
    if (ageMillis >= windowMillis) return 1;
    return Math.min(1, (STARTED_RATIO * windowMillis) / ageMillis);
  };

  const fits = (service: string, count: number, ofShareRatio = 1): boolean => {
    const usage = usageOf(service);
    const spentCount = usage.repeats.latest(partOf());
    return spentCount + count <= ofShareRatio * allowedCount(usage);
  };

  const isInTime = (service: string, count: number): boolean => {
    const usage = usageOf(service);
    const spentCount = usage.pacedPart === partOf() ? usage.pacedCount : 0;
    const limitCount = Math.max(1, PACED_RATIO * allowedCount(usage));
    return spentCount + count <= limitCount;
  };

  const spend = (service: string, count: number): void => {
    usageOf(service).repeats.add(partOf(), count);
  };

  const pace = (service: string, count: number): void => {
    const usage = usageOf(service);
    if (usage.pacedPart !== partOf()) usage.pacedCount = 0;
    usage.pacedPart = partOf();
    usage.pacedCount += count;
  };

  const tryTake = (counts: CallCounts, ofShareRatio = 1): boolean => {
    for (const [service, count] of counts) {
      if (!fits(service, count, ofShareRatio)) return false;
    }
    for (const [service, count] of counts) spend(service, count);
    return true;
  };

  return {
    recordRequest: counts => {
      for (const [service, count] of counts) {
        usageOf(service).requests.add(partOf(), count);
      }
    },
    recordExpectedCalls: counts => {
      for (const [service, count] of counts) {
        usageOf(service).expected.add(partOf(), count);
      }
    },
    takeUnchecked: counts => {
      for (const [service, count] of counts) spend(service, count);
    },
    tryTake: counts => tryTake(counts),
    tryTakeReserved: counts => tryTake(counts, RESERVED_RATIO),
    tryTakePaced: counts => {
      for (const [service, count] of counts) {
        if (!isInTime(service, count)) return false;
      }
      if (!tryTake(counts)) return false;
      for (const [service, count] of counts) pace(service, count);
      return true;
    },
    usage: () =>
      [...usages].map(([service, usage]) => ({
        service,
        spentCount: usage.repeats.latest(partOf()),
        allowedCount: allowedCount(usage),
      })),
  };
}

function createUsage(): Usage {
  return {
    requests: createWindowSum(PARTS_COUNT),
    expected: createWindowSum(PARTS_COUNT),
    repeats: createWindowSum(SPENT_PARTS_COUNT),
    pacedPart: 0,
    pacedCount: 0,
  };
}
