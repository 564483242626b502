/**
 * Admission level of one upstream: the least important value that entry nodes
 * still admit for its service.
 *
 * Load pattern: a burst of requests whose calls converge on one service deep in
 * the call graph. Rejecting those calls there wastes all work done in the
 * services above it. The node beside each upstream therefore measures the
 * arriving work by importance and publishes the level at which its service
 * would be just fully utilized; entry nodes reject less important requests
 * before any work is done for them. The nodes of a service combine the load of
 * all its upstreams, since the queue of a single one is not representative:
 * fast upstreams are given a queue while slow ones have none.
 */
import {BUCKETS_COUNT, LEAST_IMPORTANT, rankOf} from './importance.js';
import type {ServiceLoad} from './load_table.js';
import {createRankDemand} from './rank_demand.js';

/** State of the upstream's queue at the end of a window. */
export interface WindowState {
  readonly limitCount: number;
  readonly queuedCount: number;
  readonly averageMillis: number;
  /**
   * Aggregated load of all upstreams of the service; `undefined` without
   * reports.
   */
  readonly service: ServiceLoad | undefined;
  readonly windowMillis: number;
}

/** Admission level of one upstream. */
export interface AdmissionLevel {
  recordArrival(importance: number, costMillis: number): void;
  /** Ends a window and adjusts the level. */
  update(state: WindowState): void;
  /** Least important value that is still admitted. */
  level(): number;
}

/**
 * Length of a window. A burst is admitted in full until the first window ends
 * with a queue, so the window is a fraction of the second that a request takes.
 */
export const LEVEL_WINDOW_MILLIS = 200;

/** Target utilization; the rest absorbs uneven arrivals. */
const TARGET_RATIO = 0.95;

/**
 * Time in which the excess of a queue is to be drained: half the duration of a
 * request with several calls, after which a reduction takes effect here.
 */
const BACKLOG_DRAIN_MILLIS = 500;

/** Minimum share of the work that is kept, however long the queue is. */
const MIN_KEPT_RATIO = 0.7;

/**
 * Gain of the growth in one window, applied to the square of the headroom. A
 * change takes effect some five windows later: near the target the level grows
 * slowly, otherwise it would overshoot by as much again; after a burst, with
 * half of the slots free, it grows quickly.
 */
const GROWTH_GAIN = 0.5;

/** Minimum growth in one window, since the work may be overestimated. */
const MIN_GROWTH_BUCKETS_COUNT = 0.5;

/** Maximum growth in one window: a rank is admitted in less than a second. */
const MAX_GROWTH_BUCKETS_COUNT = 16;

/**
 * Backlog that counts as overload, relative to the mean time for which a slot
 * is held: a shorter one is normal variance of arrivals.
 */
const BACKLOG_RATIO = 0.75;
const MIN_BACKLOG_MILLIS = 10;
const MAX_BACKLOG_MILLIS = 60;

/**
 * The most important buckets are never shed, so that a recovery is detected.
 */
const LOWEST_LEVEL = 4;

/**
 * Minimum share of the capacity that is assumed for the last rank. The queued
 * requests belong to that rank, and wait longer the less capacity the others
 * leave to it; with a smaller minimum, normal variance would count as overload.
 */
const MIN_SHARE_RATIO = 0.4;

/**
 * Work that one upstream may receive, relative to its target capacity: fast
 * upstreams are given more than their share until the slow ones are needed.
 */
const MAX_OWN_WORK_RATIO = 1.15;

/**
 * Work of the ranks before the last one, relative to the target capacity, from
 * which they do not fit whatever the upstream's share in its service is.
 */
const MAX_FITTING_WORK_RATIO = 1.5;

/** Lower bound on the slot utilization from which growth is computed. */
const MIN_BUSY_RATIO = 0.1;

/**
 * Fraction of the distance to the service's level by which this node's level
 * moves in each window: levels that each node adjusts alone diverge, and the
 * admitted share of a rank would depend on the upstream.
 */
const AGREEMENT_WEIGHT = 0.3;

/** Creates a level that admits every request. */
export function createAdmissionLevel(): AdmissionLevel {
  const demand = createRankDemand();
  let level = LEAST_IMPORTANT;

  /** Returns the highest level whose expected work is at most `work`. */
  const highestLevelWithin = (
    work: number,
    from: number,
    to: number,
  ): number => {
    let candidate = from;
    let sum = demand.workUpTo(from);
    while (candidate < to) {
      sum += demand.bucketWork(candidate + 1);
      if (sum > work) break;
      candidate += 1;
    }
    return candidate;
  };

  /**
   * Rank of the queued requests, since more important ones are started first.
   */
  const waitingRank = (): number => {
    const highest = Math.max(level, demand.waitingLevel());
    return rankOf(Math.min(demand.lastLevel(), highest));
  };

  /**
   * Whether nothing of the last rank with demand is admitted. The next rank is
   * then shed only for its actual queue: a share of the capacity would make
   * normal variance look like overload.
   */
  const isLastRankShed = (): boolean =>
    rankOf(level) < rankOf(demand.lastLevel());

  /** Share of the capacity that more important ranks leave to the last one. */
  const remainingShare = (state: WindowState): number => {
    const rank = rankOf(level);
    if (rank === 0) return 1;
    const workBefore = demand.workUpTo(rank * BUCKETS_COUNT - 1);
    return Math.max(MIN_SHARE_RATIO, 1 - workBefore / capacityOf(state));
  };

  /**
   * Lower bound of the level: more important ranks are not shed for queued
   * requests of the last one.
   */
  const minLevel = (state: WindowState): number => {
    const levelBefore = waitingRank() * BUCKETS_COUNT - 1;
    const limit = MAX_FITTING_WORK_RATIO * TARGET_RATIO * capacityOf(state);
    if (demand.workUpTo(levelBefore) > limit) return LOWEST_LEVEL;
    return Math.min(level, Math.max(LOWEST_LEVEL, levelBefore));
  };

  /**
   * Lowers the level. The queued requests were admitted under an earlier level.
   * Reducing the present level instead, in every window until the effect shows,
   * would shed everything.
   */
  const lowerLevel = (state: WindowState, excessMillis: number): void => {
    const causingLevel = Math.min(demand.lastLevel(), demand.causingLevel());
    const keptRatio = Math.max(
      MIN_KEPT_RATIO,
      1 - excessMillis / BACKLOG_DRAIN_MILLIS,
    );
    const targetWork = Math.min(
      demand.workUpTo(causingLevel) * keptRatio,
      MAX_OWN_WORK_RATIO * TARGET_RATIO * capacityOf(state),
    );
    level = Math.min(level, demand.lastLevel());
    level = highestLevelWithin(targetWork, minLevel(state), level);
  };

  /**
   * Raises the level according to the present utilization; requests admitted
   * since it was measured count in addition.
   */
  const raiseLevel = (state: WindowState): void => {
    const expectedWork = demand.workUpTo(level);
    const settledWork = demand.workUpTo(Math.min(level, demand.settledLevel()));
    const busyRatio =
      state.service?.busyRatio ?? settledWork / capacityOf(state);
    const headroomRatio = TARGET_RATIO / Math.max(MIN_BUSY_RATIO, busyRatio);
    const targetWork = Math.min(
      headroomRatio * settledWork,
      (1 + GROWTH_GAIN * (headroomRatio - 1) ** 2) * expectedWork,
    );
    const maxLevel = Math.min(
      LEAST_IMPORTANT,
      level + MAX_GROWTH_BUCKETS_COUNT,
    );
    const fittingLevel = highestLevelWithin(targetWork, level, maxLevel);
    level = Math.min(
      maxLevel,
      Math.max(level + MIN_GROWTH_BUCKETS_COUNT, fittingLevel),
    );
  };

  return {
    recordArrival: demand.record,
    update: state => {
      const serviceLevel = state.service?.level ?? level;
      demand.endWindow(serviceLevel);
      level += (serviceLevel - level) * AGREEMENT_WEIGHT;
      const share = isLastRankShed() ? 1 : remainingShare(state);
      const allowedMillis = allowedBacklogMillis(state);
      const waitMillis = backlogMillisOf(state) / share;
      if (waitMillis > allowedMillis) {
        lowerLevel(state, waitMillis - allowedMillis);
      } else if (level < LEAST_IMPORTANT && waitMillis < allowedMillis / 2) {
        raiseLevel(state);
      }
    },
    level: () => level,
  };
}

function capacityOf(state: WindowState): number {
  return state.limitCount * state.windowMillis;
}

function backlogMillisOf(state: WindowState): number {
  if (state.service !== undefined) return state.service.backlogMillis;
  return (state.queuedCount * state.averageMillis) / state.limitCount;
}

function allowedBacklogMillis(state: WindowState): number {
  const typicalMillis = Math.max(
    state.averageMillis,
    state.service?.averageMillis ?? 0,
  );
  return Math.min(
    MAX_BACKLOG_MILLIS,
    Math.max(MIN_BACKLOG_MILLIS, typicalMillis * BACKLOG_RATIO),
  );
}
