/**
 * This node's share of the limit on retries that each service receives from the
 * whole fleet.
 *
 * Load pattern: a service fails some of its requests and every node retries
 * them; the retries and their downstream calls keep the service overloaded
 * after its fault is over. The limit applies to all nodes together, which do
 * not coordinate: each node spends in proportion to the requests it sends
 * itself, and an equal part of the fixed slack.
 */
import type {CallCounts} from '../admission/call_trees.js';
import type {RetryBound} from '../settings/node_settings.js';
import type {WindowSum} from './window_sum.js';
import {createWindowSum} from './window_sum.js';

export interface RetryBudget {
  /** Counts requests that this node sends or refuses itself. */
  recordRequest(counts: CallCounts): void;
  /**
   * Counts calls that other nodes are expected to make for requests accepted
   * here.
   */
  recordExpectedCalls(counts: CallCounts): void;
  /** Takes one retry and the calls it will cause, or nothing at all. */
  tryTake(counts: CallCounts): boolean;
  /**
   * Takes a retry of a request that an upstream rejected, unless the share of
   * the current bucket is spent: the budget is spread over the window instead
   * of spent in its first second.
   */
  tryTakePaced(counts: CallCounts): boolean;
  /**
   * Takes a retry of a request that most likely never arrived, from this node's
   * full share of the limit: the part that other retries leave is reserved for
   * these.
   */
  tryTakeReserved(counts: CallCounts): boolean;
  /** Takes a retry even if the budget is exhausted. */
  takeUnchecked(counts: CallCounts): void;
  /** Usage of this node's share in the current window, by service. */
  usage(): readonly BudgetUsage[];
}

/** Usage of one service's budget. */
export interface BudgetUsage {
  readonly service: string;
  readonly spentCount: number;
  readonly allowedCount: number;
}

export interface RetryBudgetOptions {
  /** Returns the current limit, which the settings may change. */
  readonly bound: () => RetryBound;
  readonly nowMillis: () => number;
  /** Returns the number of nodes in the fleet that may spend. */
  readonly nodesCount: () => number;
}

/** Buckets of the window; the oldest is dropped when a new one begins. */
const BUCKETS_COUNT = 10;

/**
 * Buckets in which retries count. The newest has just begun when the oldest is
 * dropped, and retries at the end of the oldest are less than a window old:
 * with as many buckets as the window has, a service could get twice its retries
 * within one.
 */
const SPENT_BUCKETS_COUNT = BUCKETS_COUNT + 1;

/**
 * Shares of the limit that are spent for requests of this node, and for calls
 * that other nodes will make and count as theirs. Together three quarters; the
 * rest allows for nodes that join or leave and for the edges of windows.
 */
const OWN_REQUESTS_RATIO = 0.6;
const EXPECTED_CALLS_RATIO = 0.15;

/**
 * Share of the fixed slack that is spent, as few requests are covered by it
 * alone.
 */
const SLACK_RATIO = 0.375;

/**
 * Share of the budget that retries of rejected requests take in one bucket. In
 * a service that rejects half of its requests, the budget would otherwise be
 * spent within two buckets, on requests of which most fail later.
 */
const PACED_RATIO = 0.2;

/** Share of the limit for regular retries. */
const REGULAR_RATIO = OWN_REQUESTS_RATIO + EXPECTED_CALLS_RATIO;

/** The whole limit, as a multiple of the share for regular retries. */
const FULL_BOUND_RATIO = 1 / REGULAR_RATIO;

/**
 * Share of a whole window's regular retries that a process may spend in its
 * first window: what regular retries leave of the limit, because the node's
 * previous process may have just spent its share. Without this reduction, a
 * service whose fleet loses power at the limit can get 328 retries in ten
 * seconds that allow 240.
 */
const FIRST_WINDOW_RATIO = (1 - REGULAR_RATIO) / REGULAR_RATIO;

interface ServiceUsage {
  readonly requests: WindowSum;
  readonly expectedCalls: WindowSum;
  readonly retries: WindowSum;
  pacedBucket: number;
  pacedCount: number;
}

/** Creates a budget without usage. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const {nowMillis} = options;
  const startedMillis = nowMillis();
  const usages = new Map<string, ServiceUsage>();

  const currentBucket = (): number =>
    Math.floor(nowMillis() / (options.bound().windowMillis / BUCKETS_COUNT));

  const getUsage = (service: string): ServiceUsage => {
    const known = usages.get(service);
    if (known !== undefined) return known;
    const created = createUsage();
    usages.set(service, created);
    return created;
  };

  const allowedCount = (usage: ServiceUsage): number => {
    const bound = options.bound();
    const bucket = currentBucket();
    const baseCount =
      OWN_REQUESTS_RATIO * usage.requests.largest(bucket) +
      EXPECTED_CALLS_RATIO * usage.expectedCalls.largest(bucket);
    const slack = bound.slackCount / Math.max(1, options.nodesCount());
    return firstWindowRatio() * bound.ratio * baseCount + SLACK_RATIO * slack;
  };

  /**
   * Requests since the start are a part of a window's: until they make up the
   * share that may be spent, no reduction is needed.
   */
  const firstWindowRatio = (): number => {
    const {windowMillis} = options.bound();
    const ageMillis = nowMillis() - startedMillis;
    if (ageMillis >= windowMillis) return 1;
    return Math.min(1, (FIRST_WINDOW_RATIO * windowMillis) / ageMillis);
  };

  const fits = (service: string, count: number, shareRatio = 1): boolean => {
    const usage = getUsage(service);
    const spentCount = usage.retries.latest(currentBucket());
    return spentCount + count <= shareRatio * allowedCount(usage);
  };

  const isWithinPace = (service: string, count: number): boolean => {
    const usage = getUsage(service);
    const spentCount =
      usage.pacedBucket === currentBucket() ? usage.pacedCount : 0;
    const limitCount = Math.max(1, PACED_RATIO * allowedCount(usage));
    return spentCount + count <= limitCount;
  };

  const spend = (service: string, count: number): void => {
    getUsage(service).retries.add(currentBucket(), count);
  };

  const recordPaced = (service: string, count: number): void => {
    const usage = getUsage(service);
    if (usage.pacedBucket !== currentBucket()) usage.pacedCount = 0;
    usage.pacedBucket = currentBucket();
    usage.pacedCount += count;
  };

  const tryTake = (counts: CallCounts, shareRatio = 1): boolean => {
    for (const [service, count] of counts) {
      if (!fits(service, count, shareRatio)) return false;
    }
    for (const [service, count] of counts) spend(service, count);
    return true;
  };

  return {
    recordRequest: counts => {
      for (const [service, count] of counts) {
        getUsage(service).requests.add(currentBucket(), count);
      }
    },
    recordExpectedCalls: counts => {
      for (const [service, count] of counts) {
        getUsage(service).expectedCalls.add(currentBucket(), count);
      }
    },
    takeUnchecked: counts => {
      for (const [service, count] of counts) spend(service, count);
    },
    tryTake: counts => tryTake(counts),
    tryTakeReserved: counts => tryTake(counts, FULL_BOUND_RATIO),
    tryTakePaced: counts => {
      for (const [service, count] of counts) {
        if (!isWithinPace(service, count)) return false;
      }
      if (!tryTake(counts)) return false;
      for (const [service, count] of counts) recordPaced(service, count);
      return true;
    },
    usage: () =>
      [...usages].map(([service, usage]) => ({
        service,
        spentCount: usage.retries.latest(currentBucket()),
        allowedCount: allowedCount(usage),
      })),
  };
}

function createUsage(): ServiceUsage {
  return {
    requests: createWindowSum(BUCKETS_COUNT),
    expectedCalls: createWindowSum(BUCKETS_COUNT),
    retries: createWindowSum(SPENT_BUCKETS_COUNT),
    pacedBucket: 0,
    pacedCount: 0,
  };
}
