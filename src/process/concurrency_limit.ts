/**
 * How many calls the local upstream may execute at once.
 */
import type {TimeSource} from '../base/time_source.js';

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
  /** Expected time of one call in the upstream; 0 before any sample. */
  abstract expectedLatencyMillis(): number;
}

/** What an adaptive limit needs. */
export interface ConcurrencyLimitOptions {
  readonly slotsCount: number;
  readonly time: TimeSource;
}

/** Share of the limit kept when the upstream signals overload. */
const OVERLOAD_BACKOFF_RATIO = 0.9;

/** Shortest time between two reductions; one burst counts once. */
const BACKOFF_PAUSE_MILLIS = 100;

/** Share of the published slots below which the limit never falls. */
const FLOOR_RATIO = 0.1;

/** Weight of one sample in the moving average of latency. */
const LATENCY_WEIGHT = 0.05;

/** Creates a limit that starts at the published slots and never exceeds them. */
export function createAdaptiveLimit(
  options: ConcurrencyLimitOptions,
): ConcurrencyLimit {
  const {time} = options;
  let slotsCount = options.slotsCount;
  let limitCount = slotsCount;
  let latencyMillis = 0;
  let backedOffMillis = Number.NEGATIVE_INFINITY;

  function floorCount(): number {
    return Math.max(1, slotsCount * FLOOR_RATIO);
  }

  function recordOverload(): void {
    const nowMillis = time.monotonicMillis();
    if (nowMillis - backedOffMillis < BACKOFF_PAUSE_MILLIS) return;
    backedOffMillis = nowMillis;
    limitCount = Math.max(floorCount(), limitCount * OVERLOAD_BACKOFF_RATIO);
  }

  function recordLatency(sampleMillis: number): void {
    latencyMillis =
      latencyMillis === 0
        ? sampleMillis
        : latencyMillis + LATENCY_WEIGHT * (sampleMillis - latencyMillis);
    limitCount = Math.min(slotsCount, limitCount + 1 / limitCount);
  }

  return new (class extends ConcurrencyLimit {
    override limitCount(): number {
      return Math.max(1, Math.floor(limitCount));
    }
    override configure(newSlotsCount: number): void {
      limitCount = newSlotsCount * (limitCount / slotsCount);
      slotsCount = newSlotsCount;
    }
    override record(sample: LimitSample): void {
      if (sample.isOverload) recordOverload();
      else if (sample.latencyMillis !== undefined) {
        recordLatency(sample.latencyMillis);
      }
    }
    override expectedLatencyMillis(): number {
      return latencyMillis;
    }
  })();
}
