/**
 * How many calls the local upstream may execute at once: at most its published
 * slots, fewer while that makes its calls faster or while it signals overload.
 */
import type {TimeSource} from '../base/time_source.js';
import type {ThroughputTrial} from './throughput_trial.js';
import {createThroughputTrial} from './throughput_trial.js';

/** One finished call as the limit sees it. */
export interface LimitSample {
  /** Time the upstream took; undefined when it gave no complete answer. */
  readonly latencyMillis: number | undefined;
  /** Whether the upstream itself signalled overload. */
  readonly isOverload: boolean;
  /** Calls in flight when this one ended, itself included. */
  readonly inFlightCount: number;
}

/** A bound on calls in flight that may move with what is measured. */
export abstract class ConcurrencyLimit {
  /** Calls allowed at once; at least 1. */
  abstract limitCount(): number;
  /** Applies a new number of published slots. */
  abstract configure(slotsCount: number): void;
  abstract record(sample: LimitSample): void;
}

/** What an adaptive limit needs. */
export interface ConcurrencyLimitOptions {
  readonly slotsCount: number;
  readonly time: TimeSource;
}

/** Creates a limit; the adaptive one is what a node uses. */
export type ConcurrencyLimitFactory = (
  options: ConcurrencyLimitOptions,
) => ConcurrencyLimit;

/** Share of the limit kept when the upstream signals overload. */
const OVERLOAD_BACKOFF_RATIO = 0.9;

/** Shortest time between two reductions; signals of one burst count once. */
const BACKOFF_PAUSE_MILLIS = 100;

/** Share of the published slots below which signals do not push the limit. */
const FLOOR_RATIO = 0.1;

/** Growth over one limit's worth of answers, away from the last overload. */
const FAST_GROWTH_RATIO = 0.1;

/** Growth over one limit's worth of answers near the last overload, in slots. */
const SLOW_GROWTH_COUNT = 0.5;

/** How long the limit at the last overload is approached with care. */
const OVERLOAD_MEMORY_MILLIS = 1_000;

/** Creates a limit that starts at the published slots and never exceeds them. */
export function createAdaptiveLimit(
  options: ConcurrencyLimitOptions,
): ConcurrencyLimit {
  const {time} = options;
  let slotsCount = options.slotsCount;
  let signalLimitCount = slotsCount;
  let overloadLimitCount = Infinity;
  let overloadMillis = Number.NEGATIVE_INFINITY;
  const trial: ThroughputTrial = createThroughputTrial(time, slotsCount);

  function limitCount(): number {
    const lowest = Math.min(signalLimitCount, trial.limitCount());
    return Math.max(1, Math.floor(lowest));
  }

  function recordOverload(): void {
    const nowMillis = time.monotonicMillis();
    if (nowMillis - overloadMillis < BACKOFF_PAUSE_MILLIS) return;
    overloadMillis = nowMillis;
    overloadLimitCount = limitCount();
    signalLimitCount = Math.max(
      slotsCount * FLOOR_RATIO,
      limitCount() * OVERLOAD_BACKOFF_RATIO,
    );
  }

  function grow(): void {
    if (signalLimitCount >= slotsCount) return;
    const sinceMillis = time.monotonicMillis() - overloadMillis;
    const isNear =
      sinceMillis < OVERLOAD_MEMORY_MILLIS &&
      signalLimitCount >= overloadLimitCount * OVERLOAD_BACKOFF_RATIO;
    const growthCount = isNear
      ? SLOW_GROWTH_COUNT
      : Math.max(1, signalLimitCount * FAST_GROWTH_RATIO);
    signalLimitCount = Math.min(
      slotsCount,
      signalLimitCount + growthCount / signalLimitCount,
    );
  }

  return new (class extends ConcurrencyLimit {
    override limitCount(): number {
      return limitCount();
    }
    override configure(newSlotsCount: number): void {
      if (newSlotsCount === slotsCount) return;
      signalLimitCount *= newSlotsCount / slotsCount;
      slotsCount = newSlotsCount;
      trial.configure(newSlotsCount);
    }
    override record(sample: LimitSample): void {
      if (sample.isOverload) recordOverload();
      if (sample.latencyMillis === undefined) return;
      const isSaturated = sample.inFlightCount >= limitCount();
      trial.record(sample.latencyMillis, isSaturated);
      if (!sample.isOverload) grow();
    }
  })();
}
