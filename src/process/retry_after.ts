/**
 * When a refused caller is told to come back.
 */
import type {TimeSource} from '../base/time_source.js';

/** Time in which an old observation loses half of its weight. */
const HALF_LIFE_MILLIS = 1_000;

/** Share of the range used under light load, so that there is some jitter. */
const MINIMUM_SPREAD_RATIO = 0.1;

/** Turns the share of refused calls into a jittered time to come back. */
export abstract class RetryAfter {
  abstract configure(minimumMillis: number, maximumMillis: number): void;
  abstract recordAdmitted(): void;
  /** Notes a refusal and says when its caller may come back. */
  abstract recordRefused(): number;
}

/** What the computation needs. */
export interface RetryAfterOptions {
  readonly minimumMillis: number;
  readonly maximumMillis: number;
  readonly time: TimeSource;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Creates a computation that has seen no calls. */
export function createRetryAfter(options: RetryAfterOptions): RetryAfter {
  const {time, random} = options;
  let {minimumMillis, maximumMillis} = options;
  let admittedCount = 0;
  let refusedCount = 0;
  let decayedMillis = time.monotonicMillis();

  function decay(): void {
    const nowMillis = time.monotonicMillis();
    const weight = 0.5 ** ((nowMillis - decayedMillis) / HALF_LIFE_MILLIS);
    decayedMillis = nowMillis;
    admittedCount *= weight;
    refusedCount *= weight;
  }

  return new (class extends RetryAfter {
    override configure(newMinimum: number, newMaximum: number): void {
      minimumMillis = newMinimum;
      maximumMillis = newMaximum;
    }
    override recordAdmitted(): void {
      decay();
      admittedCount += 1;
    }
    override recordRefused(): number {
      decay();
      refusedCount += 1;
      const refusedRatio = refusedCount / (refusedCount + admittedCount);
      const rangeMillis = Math.max(0, maximumMillis - minimumMillis);
      const spreadMillis =
        rangeMillis * Math.max(MINIMUM_SPREAD_RATIO, refusedRatio);
      return Math.round(minimumMillis + spreadMillis * random());
    }
  })();
}
