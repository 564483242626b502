/**
 * Notices that this process was paused, so that it does not act on the picture
 * of the fleet it had before.
 */
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore, createIntervalTimer} from '../base/lifecycle.js';
import type {Event} from '../base/event.js';
import {createEmitter} from '../base/event.js';
import type {TimeSource} from '../base/time_source.js';
import type {Metrics} from './metrics.js';

/** Time between two looks at the clocks. */
export const PAUSE_TICK_MILLIS = 200;

/** Delay of a look beyond which the process counts as having been paused. */
export const PAUSE_THRESHOLD_MILLIS = 1_000;

/** A pause that has just ended. */
export interface ProcessPause {
  readonly pausedMillis: number;
}

/** Reports pauses of the process. */
export abstract class PauseDetector implements Disposable {
  /**
   * Looks at the clocks now. Work that was due during a pause may run before
   * the detector's own timer; a decision that a pause would make wrong calls
   * this first. Returns true if a pause has just been found.
   */
  abstract check(): boolean;
  abstract readonly onDidResume: Event<ProcessPause>;
  abstract dispose(): void;
}

/** Options of `createPauseDetector`. */
export interface PauseDetectorOptions {
  readonly time: TimeSource;
  readonly metrics: Metrics;
}

/** Starts to watch the clocks. */
export function createPauseDetector(
  options: PauseDetectorOptions,
): PauseDetector {
  const {time, metrics} = options;
  const store = createDisposableStore();
  const resumed = store.add(createEmitter<ProcessPause>());
  let wallMillis = time.wallMillis();
  let monotonicMillis = time.monotonicMillis();

  /**
   * A stopped process sees its timer late on the monotonic clock. A suspended
   * machine may stop that clock too; then only the wall clock has moved on.
   */
  function check(): boolean {
    const wallNowMillis = time.wallMillis();
    const monotonicNowMillis = time.monotonicMillis();
    const elapsedMillis = Math.max(
      monotonicNowMillis - monotonicMillis,
      wallNowMillis - wallMillis,
    );
    wallMillis = wallNowMillis;
    monotonicMillis = monotonicNowMillis;
    const pausedMillis = elapsedMillis - PAUSE_TICK_MILLIS;
    if (pausedMillis < PAUSE_THRESHOLD_MILLIS) return false;
    metrics.increment('process.pauses');
    metrics.timing('process.pause', pausedMillis);
    resumed.fire({pausedMillis});
    return true;
  }

  store.add(createIntervalTimer(PAUSE_TICK_MILLIS, check));
  return new (class extends PauseDetector {
    override readonly onDidResume = resumed.event;
    override check(): boolean {
      return check();
    }
    override dispose(): void {
      store.dispose();
    }
  })();
}
