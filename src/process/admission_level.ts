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
import {BUCKETS_COUNT, LEAST_IMPORTANT, rankOf} from './importance.js';

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

/** Share of the work of one window that still counts in the next. */
const MEMORY_RATIO = 0.5;

/** Utilization aimed at; the rest absorbs what arrives unevenly. */
const TARGET_RATIO = 0.95;

/** Most that one window may take away or add. */
const MIN_CUT_RATIO = 0.6;
const MAX_CUT_RATIO = 0.95;
const MAX_GROWTH_RATIO = 1.25;
const MIN_GROWTH_RATIO = 1.03;

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
  const work = new Float64Array(LEAST_IMPORTANT + 1);
  let level = LEAST_IMPORTANT;

  const admittedWork = (): number => {
    let sum = 0;
    for (let index = 0; index <= level; index += 1) sum += work[index] ?? 0;
    return sum;
  };

  const cutTo = (ratio: number): void => {
    let excess = admittedWork() * (1 - ratio);
    while (level > LOWEST_LEVEL && excess > 0) {
      excess -= work[level] ?? 0;
      level -= 1;
    }
  };

  const grow = (ratio: number): void => {
    const admitted = admittedWork();
    const density = densityNear(work, level, admitted);
    const wanted = density > 0 ? (admitted * (ratio - 1)) / density : Infinity;
    const steps = Math.min(BUCKETS_COUNT, Math.max(1, Math.ceil(wanted)));
    level = Math.min(LEAST_IMPORTANT, level + steps);
  };

  return {
    recordArrival: (importance, costMillis) => {
      work[importance] = (work[importance] ?? 0) + costMillis;
    },
    update: state => {
      const capacity =
        (state.limitCount * state.windowMillis) / (1 - MEMORY_RATIO);
      let total = 0;
      for (const part of work) total += part;
      const utilization = total / capacity;
      const backlogMillis =
        (state.queuedCount * state.averageMillis) / state.limitCount;
      const typicalMillis = Math.max(
        state.averageMillis,
        state.serviceAverageMillis ?? 0,
      );
      const allowedMillis = Math.min(
        MAX_BACKLOG_MILLIS,
        Math.max(MIN_BACKLOG_MILLIS, typicalMillis * BACKLOG_RATIO),
      );
      const fitting = TARGET_RATIO / Math.max(utilization, 0.01);
      if (backlogMillis > allowedMillis) {
        cutTo(Math.min(MAX_CUT_RATIO, Math.max(MIN_CUT_RATIO, fitting)));
      } else if (level < LEAST_IMPORTANT && backlogMillis < allowedMillis / 2) {
        grow(Math.min(MAX_GROWTH_RATIO, Math.max(MIN_GROWTH_RATIO, fitting)));
      }
      for (let index = 0; index < work.length; index += 1) {
        work[index] = (work[index] ?? 0) * MEMORY_RATIO;
      }
    },
    level: () => level,
  };
}

/** Buckets of a rank that must be let in before its density can be trusted. */
const TRUSTED_BUCKETS_COUNT = 6;

/** Work for each bucket around the level. */
function densityNear(
  work: Float64Array,
  level: number,
  admitted: number,
): number {
  const first = rankOf(level) * BUCKETS_COUNT;
  const bucketsCount = level - first + 1;
  if (bucketsCount < TRUSTED_BUCKETS_COUNT) return admitted / (level + 1);
  let sum = 0;
  for (let index = first; index <= level; index += 1) sum += work[index] ?? 0;
  return sum / bucketsCount;
}
