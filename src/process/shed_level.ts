/**
 * The class from which on calls may hardly wait, moved by standing queue delay.
 */
import type {TimeSource} from '../base/time_source.js';

/** Share of the longest queue wait that counts as a standing delay. */
const TARGET_RATIO = 0.25;

/** Share of the longest queue wait that the delay must stand. */
const INTERVAL_RATIO = 0.5;

/** Shortest time the delay must stand, so that one burst does not shed. */
const MINIMUM_INTERVAL_MILLIS = 20;

/** Intervals without standing delay until one more class is queued again. */
const RECOVERY_INTERVALS_COUNT = 2;

/** Watches queue delay and decides which classes may wait. */
export abstract class ShedLevel {
  abstract configure(classCount: number, queueWaitMillis: number): void;
  /**
   * Notes the queue as it is now, before any change to it; `undefined` when
   * it is empty.
   */
  abstract observe(oldestEnqueuedMillis: number | undefined): void;
  /** Whether the queue delay has been above its target for an interval. */
  abstract isStanding(): boolean;
  /** Whether the delay stands and the last lowering has had time to show. */
  abstract mayLower(): boolean;
  /** Shortens the wait from the given class on, never that of the first. */
  abstract lowerTo(classIndex: number): void;
  /**
   * First class with a short wait, reported as refused; the number of classes
   * when there is none.
   */
  abstract refusedFromClassIndex(): number;
  /** Longest wait of a class: that of the policy, or the target delay. */
  abstract waitMillis(classIndex: number): number;
}

/** Creates a level at which every class may wait. */
export function createShedLevel(
  time: TimeSource,
  initialClassCount: number,
  initialQueueWaitMillis: number,
): ShedLevel {
  let classCount = initialClassCount;
  let intervalMillis = toIntervalMillis(initialQueueWaitMillis);
  let queueWaitMillis = initialQueueWaitMillis;
  let targetMillis = queueWaitMillis * TARGET_RATIO;
  let level = classCount;
  let belowTargetMillis = time.monotonicMillis();
  let observedMillis = belowTargetMillis;
  let loweredMillis = Number.NEGATIVE_INFINITY;
  let changedMillis = Number.NEGATIVE_INFINITY;

  /**
   * Recovery needs no traffic: a level that only an admitted call could lift
   * would refuse a class for ever once callers' nodes stopped sending it.
   */
  function recover(): void {
    if (level === classCount) return;
    const holdMillis = intervalMillis * RECOVERY_INTERVALS_COUNT;
    const steps = Math.floor(
      (time.monotonicMillis() - changedMillis) / holdMillis,
    );
    if (steps < 1) return;
    level = Math.min(classCount, level + steps);
    changedMillis += steps * holdMillis;
  }

  return new (class extends ShedLevel {
    override configure(
      newClassCount: number,
      newQueueWaitMillis: number,
    ): void {
      level = level === classCount ? newClassCount : level;
      level = Math.min(level, newClassCount);
      classCount = newClassCount;
      queueWaitMillis = newQueueWaitMillis;
      intervalMillis = toIntervalMillis(queueWaitMillis);
      targetMillis = queueWaitMillis * TARGET_RATIO;
    }
    override observe(oldestEnqueuedMillis: number | undefined): void {
      const nowMillis = time.monotonicMillis();
      const crossedMillis = (oldestEnqueuedMillis ?? nowMillis) + targetMillis;
      // Earlier than the last look, an older call may have been there.
      if (crossedMillis > observedMillis) {
        belowTargetMillis = Math.min(nowMillis, crossedMillis);
      }
      observedMillis = nowMillis;
      if (this.isStanding()) changedMillis = nowMillis;
      else recover();
    }
    override isStanding(): boolean {
      return time.monotonicMillis() - belowTargetMillis >= intervalMillis;
    }
    override mayLower(): boolean {
      const sinceMillis = time.monotonicMillis() - loweredMillis;
      return this.isStanding() && sinceMillis >= intervalMillis;
    }
    override lowerTo(classIndex: number): void {
      changedMillis = time.monotonicMillis();
      const newLevel = Math.max(1, classIndex);
      if (newLevel >= level) return;
      level = newLevel;
      loweredMillis = changedMillis;
    }
    override refusedFromClassIndex(): number {
      recover();
      return level;
    }
    override waitMillis(classIndex: number): number {
      const isShort = classIndex >= this.refusedFromClassIndex();
      return isShort ? targetMillis : queueWaitMillis;
    }
  })();
}

function toIntervalMillis(queueWaitMillis: number): number {
  return Math.max(MINIMUM_INTERVAL_MILLIS, queueWaitMillis * INTERVAL_RATIO);
}
