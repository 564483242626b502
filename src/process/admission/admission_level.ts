/**
 * The level up to which a service deep in the call graph can take requests:
 * the least important value that nodes still let in where clients enter.
 *
 * Load pattern: a burst of requests whose calls meet in one service. Refusing
 * the calls there wastes all that ran above them. So the node beside each
 * upstream measures the work that arrives by importance and publishes the
 * level at which its service would just be busy; entries turn the rest away
 * before it costs anything. The nodes of one service look at the load of all
 * its upstreams and agree: one upstream's queue says little, since the fast
 * ones are given a queue while the slow ones have none.
 */
import {BUCKETS_COUNT, LEAST_IMPORTANT, rankOf} from './importance.js';
import type {ServiceLoad} from './load_table.js';
import {createRankDemand} from './rank_demand.js';

/** State of the queue at the end of a window. */
export interface WindowState {
  readonly limitCount: number;
  readonly queuedCount: number;
  readonly averageMillis: number;
  /** Load of all upstreams of the service, if known. */
  readonly service: ServiceLoad | undefined;
  readonly windowMillis: number;
}

/** The level of one upstream. */
export interface AdmissionLevel {
  recordArrival(importance: number, costMillis: number): void;
  /** Ends a window and moves the level. */
  update(state: WindowState): void;
  /** Requests of this importance or a more important one are welcome. */
  level(): number;
}

/**
 * Length of a window. A burst is let in whole until the first window has ended
 * with a queue, so it is a fraction of the second that a request takes.
 */
export const LEVEL_WINDOW_MILLIS = 200;

/** Utilization aimed at; the rest absorbs what arrives unevenly. */
const TARGET_RATIO = 0.95;

/**
 * Time in which the excess of a queue is to be worked off: half of what a
 * request of several calls takes, which is when the cut shows here.
 */
const DRAIN_MILLIS = 500;

/** Part of the work that is kept however long the queue is. */
const MIN_KEPT_RATIO = 0.7;

/**
 * Growth in one window for the square of the room left. The effect shows some
 * five windows later: near the target the level goes slowly, or it would pass
 * it by as much again; after a burst, with half of the slots free, quickly.
 */
const GROWTH_GAIN = 0.5;

/** Least that one window adds: the estimate of the work may be too high. */
const MIN_GROWTH_BUCKETS_COUNT = 0.5;

/** Most buckets that one window adds: a rank in less than a second. */
const GROWTH_BUCKETS_COUNT = 16;

/**
 * Queue that counts as overload, in mean times for which a slot is held: a
 * shorter one is the ordinary unevenness of arrivals.
 */
const BACKLOG_RATIO = 0.75;
const MIN_BACKLOG_MILLIS = 10;
const MAX_BACKLOG_MILLIS = 60;

/** The most important buckets are never shed, so that recovery is noticed. */
const LOWEST_LEVEL = 4;

/**
 * Least share of the capacity that the last rank is taken to have. What waits
 * is of that rank, and waits longer the less the others leave to it; with less
 * than this, ordinary unevenness would count as overload.
 */
const MIN_SHARE_RATIO = 0.4;

/**
 * Work beyond the capacity that one upstream's part in its service may bring:
 * the fast ones are given more than their share until the slow ones are needed.
 */
const OWN_EXCESS_RATIO = 1.15;

/** Beyond this, ranks before the last one do not fit whatever the part is. */
const CERTAIN_EXCESS_RATIO = 1.5;

/** Use of slots below which the growth by it is not reckoned. */
const MIN_BUSY_RATIO = 0.1;

/**
 * Part of the way that a level goes to that of its service each window: levels
 * that each node moves alone drift apart, and the share of a rank that is let in
 * would depend on the upstream.
 */
const AGREEMENT_WEIGHT = 0.3;

/** Creates a level that lets everything in. */
export function createAdmissionLevel(): AdmissionLevel {
  const demand = createRankDemand();
  let level = LEAST_IMPORTANT;

  /** The highest level whose expected work is at most so much. */
  const highestWithin = (work: number, from: number, to: number): number => {
    let candidate = from;
    let sum = demand.workUpTo(from);
    while (candidate < to) {
      sum += demand.bucketWork(candidate + 1);
      if (sum > work) break;
      candidate += 1;
    }
    return candidate;
  };

  /** Rank of which what waits is, since others go before it. */
  const waitingRank = (): number => {
    const highest = Math.max(level, demand.waitingLevel());
    return rankOf(Math.min(demand.lastLevel(), highest));
  };

  /**
   * Nothing is let in of the last rank that brings work. The next one is shed
   * for a queue of its own only: a share of one would be ordinary unevenness.
   */
  const isLastShut = (): boolean => rankOf(level) < rankOf(demand.lastLevel());

  /** Share of the capacity that more important ranks leave to the last one. */
  const shareLeft = (state: WindowState): number => {
    const rank = rankOf(level);
    if (rank === 0) return 1;
    const before = demand.workUpTo(rank * BUCKETS_COUNT - 1);
    return Math.max(MIN_SHARE_RATIO, 1 - before / capacityOf(state));
  };

  /** More important ranks are not shed for what waits of the last one. */
  const floorLevel = (state: WindowState): number => {
    const before = waitingRank() * BUCKETS_COUNT - 1;
    const limit = CERTAIN_EXCESS_RATIO * TARGET_RATIO * capacityOf(state);
    if (demand.workUpTo(before) > limit) return LOWEST_LEVEL;
    return Math.min(level, Math.max(LOWEST_LEVEL, before));
  };

  /**
   * What waits now entered under an earlier level. Cut from the level of now,
   * window after window until the effect shows, it would all be shut.
   */
  const shrink = (state: WindowState, excessMillis: number): void => {
    const cause = Math.min(demand.lastLevel(), demand.causingLevel());
    const kept = Math.max(MIN_KEPT_RATIO, 1 - excessMillis / DRAIN_MILLIS);
    const wanted = Math.min(
      demand.workUpTo(cause) * kept,
      OWN_EXCESS_RATIO * TARGET_RATIO * capacityOf(state),
    );
    level = Math.min(level, demand.lastLevel());
    level = highestWithin(wanted, floorLevel(state), level);
  };

  /**
   * By what is busy, and what has been let in since adds to it.
   */
  const grow = (state: WindowState): void => {
    const expected = demand.workUpTo(level);
    const settled = demand.workUpTo(Math.min(level, demand.settledLevel()));
    const busy = state.service?.busyRatio ?? settled / capacityOf(state);
    const room = TARGET_RATIO / Math.max(MIN_BUSY_RATIO, busy);
    const wanted = Math.min(
      room * settled,
      (1 + GROWTH_GAIN * (room - 1) ** 2) * expected,
    );
    const last = Math.min(LEAST_IMPORTANT, level + GROWTH_BUCKETS_COUNT);
    const fitting = highestWithin(wanted, level, last);
    level = Math.min(last, Math.max(level + MIN_GROWTH_BUCKETS_COUNT, fitting));
  };

  return {
    recordArrival: demand.record,
    update: state => {
      const agreed = state.service?.level ?? level;
      demand.endWindow(agreed);
      level += (agreed - level) * AGREEMENT_WEIGHT;
      const share = isLastShut() ? 1 : shareLeft(state);
      const allowedMillis = allowedBacklog(state);
      const waitMillis = backlogOf(state) / share;
      if (waitMillis > allowedMillis) {
        shrink(state, waitMillis - allowedMillis);
      } else if (level < LEAST_IMPORTANT && waitMillis < allowedMillis / 2) {
        grow(state);
      }
    },
    level: () => level,
  };
}

function capacityOf(state: WindowState): number {
  return state.limitCount * state.windowMillis;
}

function backlogOf(state: WindowState): number {
  if (state.service !== undefined) return state.service.backlogMillis;
  return (state.queuedCount * state.averageMillis) / state.limitCount;
}

function allowedBacklog(state: WindowState): number {
  const typicalMillis = Math.max(
    state.averageMillis,
    state.service?.averageMillis ?? 0,
  );
  return Math.min(
    MAX_BACKLOG_MILLIS,
    Math.max(MIN_BACKLOG_MILLIS, typicalMillis * BACKLOG_RATIO),
  );
}
