/**
 * A time source that moves only when a test says so.
 */
import {TimeSource} from '../../src/base/time_source.js';

/** Wall time at which a manual clock starts unless told otherwise. */
const DEFAULT_START_WALL_MILLIS = 1_700_000_000_000;

/** Where a manual clock starts. */
export interface ManualTimeSourceOptions {
  readonly startWallMillis?: number;
  readonly startMonotonicMillis?: number;
}

/** A time source under the control of a test. */
export abstract class ManualTimeSource extends TimeSource {
  /** Moves both clocks forward. */
  abstract advance(millis: number): void;
  /** Moves the wall clock alone, forward or back, as a clock step does. */
  abstract stepWall(millis: number): void;
}

/** Creates a clock that stands still until it is advanced. */
export function createManualTimeSource(
  options: ManualTimeSourceOptions = {},
): ManualTimeSource {
  let wallMillis = options.startWallMillis ?? DEFAULT_START_WALL_MILLIS;
  let monotonicMillis = options.startMonotonicMillis ?? 0;
  return new (class extends ManualTimeSource {
    override wallMillis(): number {
      return wallMillis;
    }
    override monotonicMillis(): number {
      return monotonicMillis;
    }
    override advance(millis: number): void {
      if (millis < 0) throw new RangeError('A clock only advances.');
      wallMillis += millis;
      monotonicMillis += millis;
    }
    override stepWall(millis: number): void {
      wallMillis += millis;
    }
  })();
}
