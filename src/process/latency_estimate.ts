/**
 * Estimates of the upstream's latency that fade without samples.
 */
import type {TimeSource} from '../base/time_source.js';

/** Weight of one sample in the moving average. */
const MEAN_WEIGHT = 0.05;

/**
 * Half of the time a lowest value is remembered. Short, because a lowest value
 * from a slow spell that is over would refuse calls which have time enough,
 * and refused calls bring no samples that could correct it.
 */
const LOWEST_PERIOD_MILLIS = 500;

/** Mean and lowest latency of late. */
export abstract class LatencyEstimate {
  abstract record(latencyMillis: number): void;
  /** Moving average; 0 before any sample. */
  abstract meanMillis(): number;
  /** Lowest of the last half to whole second; 0 without samples. */
  abstract lowestMillis(): number;
}

/** Creates an estimate without samples. */
export function createLatencyEstimate(time: TimeSource): LatencyEstimate {
  let meanMillis = 0;
  let currentLowest = Infinity;
  let previousLowest = Infinity;
  let periodStartMillis = time.monotonicMillis();

  function rotate(): void {
    const elapsedMillis = time.monotonicMillis() - periodStartMillis;
    if (elapsedMillis < LOWEST_PERIOD_MILLIS) return;
    previousLowest =
      elapsedMillis < 2 * LOWEST_PERIOD_MILLIS ? currentLowest : Infinity;
    currentLowest = Infinity;
    periodStartMillis = time.monotonicMillis();
  }

  return new (class extends LatencyEstimate {
    override record(latencyMillis: number): void {
      rotate();
      currentLowest = Math.min(currentLowest, latencyMillis);
      meanMillis =
        meanMillis === 0
          ? latencyMillis
          : meanMillis + MEAN_WEIGHT * (latencyMillis - meanMillis);
    }
    override meanMillis(): number {
      return meanMillis;
    }
    override lowestMillis(): number {
      rotate();
      const lowest = Math.min(currentLowest, previousLowest);
      return lowest === Infinity ? 0 : lowest;
    }
  })();
}
