/**
 * Time for decisions, read from Effect's clock so that tests can replace it.
 */
import * as Clock from 'effect/Clock';
import * as Effect from 'effect/Effect';

const NANOS_PER_MILLI = 1_000_000;

/** Reads wall time and a clock that never goes backwards. */
export abstract class TimeSource {
  /** Unix time in milliseconds; may jump. */
  abstract wallMillis(): number;
  /** Milliseconds since an arbitrary origin; never decreases. */
  abstract monotonicMillis(): number;
}

/** Creates a time source over the clock of the current Effect runtime. */
export function createTimeSource(
  clock: Clock.Clock = Effect.runSync(Clock.clockWith(Effect.succeed)),
): TimeSource {
  return new (class extends TimeSource {
    override wallMillis(): number {
      return clock.currentTimeMillisUnsafe();
    }
    override monotonicMillis(): number {
      return Number(clock.monotonicTimeNanosUnsafe()) / NANOS_PER_MILLI;
    }
  })();
}
