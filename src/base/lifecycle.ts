/**
 * Ownership of resources: disposables and the store that gathers them.
 */

/** Something that holds a resource until it is disposed of. */
export interface Disposable {
  /** Releases the resource; a second call has no effect. */
  dispose(): void;
}

/** Wraps a clean-up function so that it runs at most once. */
export function toDisposable(release: () => void): Disposable {
  let isDisposed = false;
  return {
    dispose: () => {
      if (isDisposed) return;
      isDisposed = true;
      release();
    },
  };
}

/**
 * Gathers disposables with one owner and releases them together, last added
 * first.
 */
export interface DisposableStore extends Disposable {
  readonly isDisposed: boolean;
  /** Adds a disposable; on a store already disposed it is released at once. */
  add<T extends Disposable>(disposable: T): T;
  /** Releases one member early and forgets it. */
  delete(disposable: Disposable): void;
}

/** Creates an empty store. */
export function createDisposableStore(): DisposableStore {
  const members = new Set<Disposable>();
  let isDisposed = false;
  return {
    get isDisposed() {
      return isDisposed;
    },
    add: disposable => {
      // An owner that is already gone would never release a late member.
      if (isDisposed) disposable.dispose();
      else members.add(disposable);
      return disposable;
    },
    delete: disposable => {
      if (members.delete(disposable)) disposable.dispose();
    },
    dispose: () => {
      if (isDisposed) return;
      isDisposed = true;
      disposeAll([...members].reverse());
      members.clear();
    },
  };
}

/** Disposes of every member even if some throw; rethrows the first error. */
function disposeAll(disposables: readonly Disposable[]): void {
  const errors: unknown[] = [];
  for (const disposable of disposables) {
    try {
      disposable.dispose();
    } catch (error) {
      errors.push(error);
    }
  }
  if (errors.length > 0) throw errors[0];
}

/** Intervals that are a multiple of this share one timer of the process. */
const STEP_MILLIS = 100;

/** Calls listeners at multiples of a step, all from one timer. */
function createSteppedTimer(stepMillis: number) {
  const listeners = new Map<() => void, number>();
  let timer: NodeJS.Timeout | undefined;
  let stepsCount = 0;
  const step = (): void => {
    stepsCount += 1;
    for (const [listener, everyCount] of [...listeners]) {
      const isDue = stepsCount % everyCount === 0;
      if (isDue && listeners.has(listener)) listener();
    }
  };
  return {
    add: (everyCount: number, onTick: () => void): Disposable => {
      // The same function may be registered several times.
      const listener = (): void => {
        onTick();
      };
      listeners.set(listener, everyCount);
      timer ??= setInterval(step, stepMillis).unref();
      return toDisposable(() => {
        listeners.delete(listener);
        if (listeners.size > 0) return;
        clearInterval(timer);
        timer = undefined;
      });
    },
  };
}

const sharedTimer = createSteppedTimer(STEP_MILLIS);

/**
 * Registers an interval timer as a disposable that keeps no process alive. Timers
 * of one process tick together where their intervals allow it: each wake of a
 * process that is idle otherwise costs more than what it does then.
 */
export function createIntervalTimer(
  intervalMillis: number,
  onTick: () => void,
): Disposable {
  if (intervalMillis % STEP_MILLIS === 0) {
    return sharedTimer.add(intervalMillis / STEP_MILLIS, onTick);
  }
  const timer = setInterval(onTick, intervalMillis).unref();
  return toDisposable(() => {
    clearInterval(timer);
  });
}

/** Registers a one-shot timer as a disposable that keeps no process alive. */
export function createTimeoutTimer(
  delayMillis: number,
  onElapsed: () => void,
): Disposable {
  const timer = setTimeout(onElapsed, delayMillis);
  timer.unref();
  return toDisposable(() => {
    clearTimeout(timer);
  });
}
