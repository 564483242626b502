/**
 * The level up to which a service deep in the call graph can take requests:
 * the least important value that nodes still let in where clients enter.
 *
 * Load pattern: a burst of requests whose calls meet in one service. Refusing
 * the calls there wastes all that ran above them. So the node beside each
 * upstream measures the work that arrives by importance and publishes the
 * level at which it would just be busy; entries turn the rest away before it
 * costs anything.
 */
import {LEAST_IMPORTANT} from './importance.js';
import {createRankDemand} from './rank_demand.js';

/** State of the queue at the end of a window. */
export interface WindowState {
  readonly limitCount: number;
  readonly queuedCount: number;
  readonly averageMillis: number;
  /** The same over all upstreams of the service, if known. */
  readonly serviceAverageMillis: number | undefined;
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
 * Length of a window: a request enters up to that long before its deepest call
 * arrives, and moving the level faster than its effect shows makes it swing.
 */
export const LEVEL_WINDOW_MILLIS = 400;

/** Utilization aimed at; the rest absorbs what arrives unevenly. */
const TARGET_RATIO = 0.95;

/**
 * Time in which the excess of a queue is to be worked off: about two windows,
 * so that the room made for it shows before it is asked for again.
 */
const DRAIN_MILLIS = 800;

/** Room that is made for an excess at most. */
const MIN_TARGET_RATIO = 0.7;

/** Most by which one window lets the work grow. */
const GROWTH_RATIO = 1.25;

/** Most buckets that one window adds. */
const GROWTH_BUCKETS_COUNT = 32;

/** Cut if a queue stays although, by the estimate, it should shrink. */
const STUBBORN_CUT_RATIO = 0.92;

/** A queue that kept this share of its length over a window stays. */
const STUBBORN_RATIO = 0.9;

/**
 * Queue that counts as overload, in mean times for which a slot is held: a
 * shorter one is the ordinary unevenness of arrivals. The mean is that of the
 * service, since a fast upstream rightly has a queue while slow ones have none.
 */
const BACKLOG_RATIO = 0.75;
const MIN_BACKLOG_MILLIS = 10;
const MAX_BACKLOG_MILLIS = 60;

/** The most important buckets are never shed, so that recovery is noticed. */
const LOWEST_LEVEL = 4;

/** Creates a level that lets everything in. */
export function createAdmissionLevel(): AdmissionLevel {
  const demand = createRankDemand();
  let level = LEAST_IMPORTANT;
  let lastBacklogMillis = 0;

  /** The highest level whose expected work is at most so much. */
  const highestWithin = (work: number, from: number, to: number): number => {
    let candidate = from;
    let sum = demand.expectedAt(from);
    while (candidate < to) {
      sum += demand.ofBucket(candidate + 1);
      if (sum > work) break;
      candidate += 1;
    }
    return candidate;
  };

  const shrink = (state: WindowState, excessMillis: number): void => {
    const capacity = state.limitCount * state.windowMillis;
    const expected = demand.expectedAt(level);
    const target = Math.max(
      MIN_TARGET_RATIO,
      TARGET_RATIO - excessMillis / DRAIN_MILLIS,
    );
    const isStubborn =
      backlogOf(state) > lastBacklogMillis * STUBBORN_RATIO &&
      lastBacklogMillis > 0;
    if (expected > target * capacity) {
      level = highestWithin(target * capacity, LOWEST_LEVEL, level);
    } else if (isStubborn) {
      const wanted = expected * STUBBORN_CUT_RATIO;
      level = highestWithin(wanted, LOWEST_LEVEL, level);
    }
  };

  /** One bucket at least, since the estimate of the work may be too high. */
  const grow = (state: WindowState): void => {
    const capacity = state.limitCount * state.windowMillis;
    const expected = demand.expectedAt(level);
    const wanted = Math.min(TARGET_RATIO * capacity, expected * GROWTH_RATIO);
    const last = Math.min(LEAST_IMPORTANT, level + GROWTH_BUCKETS_COUNT);
    const fitting = highestWithin(wanted, level, last);
    level = Math.min(last, Math.max(level + 1, fitting));
  };

  return {
    recordArrival: demand.record,
    update: state => {
      demand.endWindow(level);
      const backlogMillis = backlogOf(state);
      const allowedMillis = allowedBacklog(state);
      if (backlogMillis > allowedMillis) {
        shrink(state, backlogMillis - allowedMillis);
      } else if (level < LEAST_IMPORTANT && backlogMillis < allowedMillis / 2) {
        grow(state);
      }
      lastBacklogMillis = backlogMillis;
    },
    level: () => level,
  };
}

function backlogOf(state: WindowState): number {
  return (state.queuedCount * state.averageMillis) / state.limitCount;
}

function allowedBacklog(state: WindowState): number {
  const typicalMillis = Math.max(
    state.averageMillis,
    state.serviceAverageMillis ?? 0,
  );
  return Math.min(
    MAX_BACKLOG_MILLIS,
    Math.max(MIN_BACKLOG_MILLIS, typicalMillis * BACKLOG_RATIO),
  );
}
