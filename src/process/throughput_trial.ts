/**
 * Search for the lowest limit that costs no throughput while calls are slower
 * than they were.
 */
import type {TimeSource} from '../base/time_source.js';

/** Factor between the limits that are compared. */
const STEP_RATIO = 0.8;

/** Difference of throughput that decides a comparison. */
const TOLERANCE_RATIO = 0.1;

/** Latency over its baseline from which on other limits are tried. */
const SLOWNESS_RATIO = 1.5;

/** Share of the published slots below which the search does not go. */
const FLOOR_RATIO = 0.25;

/** Answers measured at one limit, as a multiple of it and at least. */
const WINDOW_FACTOR = 6;
const MINIMUM_WINDOW_COUNT = 100;

/** Share of saturated answers that makes a window's throughput telling. */
const SATURATED_RATIO = 0.8;

/**
 * Windows between trials; doubles up to the maximum while none succeeds. After
 * a failed raise it stays short, since the upstream may recover any moment.
 */
const FIRST_PAUSE_COUNT = 4;
const MAX_PAUSE_COUNT = 32;
const MAX_PAUSE_AFTER_RAISE_COUNT = 8;

/**
 * Weights of one window in the baseline of latency, by how the window compares
 * with it. A plain minimum would take the luckiest of many windows for normal,
 * a plain average would take a slow spell for normal before it is over.
 */
const FASTER_WEIGHT = 0.1;
const NORMAL_WEIGHT = 0.01;
const SLOW_WEIGHT = 0.001;

/** A limit moved by comparing throughput at two settings. */
export abstract class ThroughputTrial {
  abstract limitCount(): number;
  abstract configure(slotsCount: number): void;
  /** Notes an answer and whether the limit was reached when it came. */
  abstract record(latencyMillis: number, isSaturated: boolean): void;
}

/** What was measured at one limit. */
interface WindowResult {
  readonly latencyMillis: number;
  readonly answersPerMilli: number;
  readonly isSaturated: boolean;
}

/** A comparison under way. */
interface Trial {
  readonly direction: 'lower' | 'raise';
  readonly previousLimitCount: number;
  /** Throughput the result is compared with. */
  readonly answersPerMilli: number;
}

/** Creates a search that starts at the published slots. */
export function createThroughputTrial(
  time: TimeSource,
  initialSlotsCount: number,
): ThroughputTrial {
  let slotsCount = initialSlotsCount;
  let limitCount = initialSlotsCount;
  let trial: Trial | undefined;
  let lastDirection: Trial['direction'] = 'raise';
  const pauses = createPauses();
  const baseline = createBaseline();
  let window = createWindow(time, limitCount, limitCount);

  function moveTo(newLimitCount: number): void {
    // Answers of calls that began under the old limit say nothing of the new.
    const skippedCount = Math.ceil(Math.max(limitCount, newLimitCount));
    const floorCount = Math.max(1, slotsCount * FLOOR_RATIO);
    limitCount = Math.min(slotsCount, Math.max(floorCount, newLimitCount));
    window = createWindow(time, limitCount, skippedCount);
  }

  function begin(direction: Trial['direction'], result: WindowResult): void {
    lastDirection = direction;
    trial = {
      direction,
      previousLimitCount: limitCount,
      answersPerMilli: result.answersPerMilli,
    };
    moveTo(
      direction === 'lower' ? limitCount * STEP_RATIO : limitCount / STEP_RATIO,
    );
  }

  function conclude(finished: Trial, result: WindowResult): void {
    trial = undefined;
    if (isWorthwhile(finished, result)) {
      pauses.reset();
      // Steps down all compare with where they began, or many small losses
      // would pass one by one.
      const answersPerMilli =
        finished.direction === 'lower'
          ? finished.answersPerMilli
          : result.answersPerMilli;
      proceed(finished.direction, {...result, answersPerMilli});
      return;
    }
    moveTo(finished.previousLimitCount);
    pauses.start(finished.direction);
  }

  function isWorthwhile(finished: Trial, result: WindowResult): boolean {
    const gainRatio = result.answersPerMilli / finished.answersPerMilli;
    if (finished.direction === 'lower') return gainRatio > 1 - TOLERANCE_RATIO;
    return !isSlow(result) || gainRatio > 1 + TOLERANCE_RATIO;
  }

  function isSlow(result: WindowResult): boolean {
    return baseline.isSlow(result.latencyMillis);
  }

  /** Goes on in the direction that has just proved worthwhile. */
  function proceed(direction: Trial['direction'], result: WindowResult): void {
    if (direction === 'raise' && limitCount < slotsCount) {
      begin('raise', result);
    }
    if (direction === 'lower' && isSlow(result)) begin('lower', result);
  }

  /** Idle slots: nothing speaks for a lower limit. */
  function regain(): void {
    trial = undefined;
    pauses.reset();
    if (limitCount < slotsCount) moveTo(limitCount / STEP_RATIO);
  }

  function chooseDirection(
    result: WindowResult,
  ): Trial['direction'] | undefined {
    if (!isSlow(result)) return limitCount < slotsCount ? 'raise' : undefined;
    if (limitCount >= slotsCount) return 'lower';
    if (limitCount <= Math.max(1, slotsCount * FLOOR_RATIO)) return 'raise';
    return lastDirection === 'lower' ? 'raise' : 'lower';
  }

  function evaluate(result: WindowResult): void {
    baseline.record(result.latencyMillis);
    if (!result.isSaturated) regain();
    else if (trial !== undefined) conclude(trial, result);
    else if (!pauses.pass()) {
      const direction = chooseDirection(result);
      if (direction !== undefined) begin(direction, result);
    }
  }

  return new (class extends ThroughputTrial {
    override limitCount(): number {
      return limitCount;
    }
    override configure(newSlotsCount: number): void {
      trial = undefined;
      const scaledCount = limitCount * (newSlotsCount / slotsCount);
      slotsCount = newSlotsCount;
      moveTo(scaledCount);
    }
    override record(latencyMillis: number, isSaturated: boolean): void {
      const result = window.record(latencyMillis, isSaturated);
      if (result === undefined) return;
      window = createWindow(time, limitCount, 0);
      evaluate(result);
    }
  })();
}

/** Counts windows in which no trial begins. */
interface Pauses {
  readonly start: (failedDirection: Trial['direction']) => void;
  /** Passes one window of the pause; false if there is none. */
  readonly pass: () => boolean;
  readonly reset: () => void;
}

function createPauses(): Pauses {
  let leftCount = 0;
  let nextCount = FIRST_PAUSE_COUNT;
  return {
    start: failedDirection => {
      leftCount =
        failedDirection === 'raise'
          ? Math.min(MAX_PAUSE_AFTER_RAISE_COUNT, nextCount)
          : nextCount;
      nextCount = Math.min(MAX_PAUSE_COUNT, nextCount * 2);
    },
    pass: () => {
      if (leftCount === 0) return false;
      leftCount -= 1;
      return true;
    },
    reset: () => {
      leftCount = 0;
      nextCount = FIRST_PAUSE_COUNT;
    },
  };
}

/** Gathers answers until there are enough for a result. */
interface Window {
  readonly record: (
    latencyMillis: number,
    isSaturated: boolean,
  ) => WindowResult | undefined;
}

function createWindow(
  time: TimeSource,
  limitCount: number,
  skippedCount: number,
): Window {
  const neededCount = Math.max(
    MINIMUM_WINDOW_COUNT,
    Math.ceil(limitCount * WINDOW_FACTOR),
  );
  let leftToSkipCount = skippedCount;
  let startMillis = time.monotonicMillis();
  let count = 0;
  let saturatedCount = 0;
  let sumMillis = 0;
  return {
    record: (latencyMillis, isSaturated) => {
      if (leftToSkipCount > 0) {
        leftToSkipCount -= 1;
        startMillis = time.monotonicMillis();
        return undefined;
      }
      count += 1;
      sumMillis += latencyMillis;
      if (isSaturated) saturatedCount += 1;
      if (count < neededCount) return undefined;
      const elapsedMillis = time.monotonicMillis() - startMillis;
      return {
        latencyMillis: sumMillis / count,
        answersPerMilli: count / Math.max(1, elapsedMillis),
        isSaturated: saturatedCount >= count * SATURATED_RATIO,
      };
    },
  };
}

/** What latency is normal, in milliseconds. */
interface Baseline {
  readonly isSlow: (latencyMillis: number) => boolean;
  readonly record: (latencyMillis: number) => void;
}

function createBaseline(): Baseline {
  let normalMillis: number | undefined;

  function isSlow(latencyMillis: number): boolean {
    return latencyMillis > SLOWNESS_RATIO * (normalMillis ?? Infinity);
  }

  function weightOf(latencyMillis: number, currentMillis: number): number {
    if (isSlow(latencyMillis)) return SLOW_WEIGHT;
    return latencyMillis < currentMillis ? FASTER_WEIGHT : NORMAL_WEIGHT;
  }

  return {
    isSlow,
    record: latencyMillis => {
      normalMillis ??= latencyMillis;
      normalMillis +=
        weightOf(latencyMillis, normalMillis) * (latencyMillis - normalMillis);
    },
  };
}
