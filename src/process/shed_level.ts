/**
 * The class from which on calls are no longer queued, moved by standing queue
 * delay.
 */
import type {TimeSource} from '../base/time_source.js';

/** Share of the longest queue wait that counts as a standing delay. */
const TARGET_RATIO = 0.25;

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
  /** Whether an interval has passed since the level was lowered. */
  abstract mayLower(): boolean;
  /** Lets no class from the given one on wait; the first may always wait. */
  abstract lowerTo(classIndex: number): void;
  /** First class that may not wait; the number of classes when all may. */
  abstract refusedFromClassIndex(): number;
}

/** Creates a level at which every class may wait. */
export function createShedLevel(
  time: TimeSource,
  initialClassCount: number,
  initialQueueWaitMillis: number,
): ShedLevel {
  let classCount = initialClassCount;
  let intervalMillis = toIntervalMillis(initialQueueWaitMillis);
  let targetMillis = initialQueueWaitMillis * TARGET_RATIO;
  let level = classCount;
  let belowTargetMillis = time.monotonicMillis();
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
    override configure(newClassCount: number, queueWaitMillis: number): void {
      level = level === classCount ? newClassCount : level;
      level = Math.min(level, newClassCount);
      classCount = newClassCount;
      intervalMillis = toIntervalMillis(queueWaitMillis);
      targetMillis = queueWaitMillis * TARGET_RATIO;
    }
    override observe(oldestEnqueuedMillis: number | undefined): void {
      const nowMillis = time.monotonicMillis();
      const crossedMillis = (oldestEnqueuedMillis ?? nowMillis) + targetMillis;
      belowTargetMillis = Math.max(
        belowTargetMillis,
        Math.min(nowMillis, crossedMillis),
      );
      if (this.isStanding()) changedMillis = nowMillis;
      else recover();
    }
    override isStanding(): boolean {
      return time.monotonicMillis() - belowTargetMillis >= intervalMillis;
    }
    override mayLower(): boolean {
      return this.isStanding();
    }
    override lowerTo(classIndex: number): void {
      level = Math.min(level, Math.max(1, classIndex));
      changedMillis = time.monotonicMillis();
    }
    override refusedFromClassIndex(): number {
      recover();
      return level;
    }
  })();
}

function toIntervalMillis(queueWaitMillis: number): number {
  return Math.max(MINIMUM_INTERVAL_MILLIS, queueWaitMillis);
}
