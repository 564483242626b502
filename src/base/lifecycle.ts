/**
 * Disposables, stores that own several of them, and timers as disposables.
 */

/** An object that owns a resource until it is disposed of. */
export interface Disposable {
  /** Releases the resource; a second call has no effect. */
  dispose(): void;
}

/** Wraps a cleanup function so that it runs at most once. */
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
 * Collects the disposables of one owner and disposes of them together, in
 * reverse order of addition.
 */
export interface DisposableStore extends Disposable {
  readonly isDisposed: boolean;
  /**
   * Adds a disposable, or disposes of it immediately if the store is disposed.
   */
  add<T extends Disposable>(disposable: T): T;
  /** Removes one disposable from the store and disposes of it. */
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
      // A disposed store is not disposed again, so a late member would leak.
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

/** Intervals that are a multiple of this step share one process-wide timer. */
const STEP_MILLIS = 100;

/** Calls listeners at multiples of a step from a single timer. */
function createSharedTimer(stepMillis: number) {
  const listeners = new Map<() => void, number>();
  let timer: NodeJS.Timeout | undefined;
  let stepsCount = 0;
  const step = (): void => {
    stepsCount += 1;
    for (const [listener, intervalStepsCount] of [...listeners]) {
      const isDue = stepsCount % intervalStepsCount === 0;
      if (isDue && listeners.has(listener)) listener();
    }
  };
  return {
    add: (intervalStepsCount: number, onTick: () => void): Disposable => {
      // Wrapped because the same function may be registered several times.
      const listener = (): void => {
        onTick();
      };
      listeners.set(listener, intervalStepsCount);
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

const sharedTimer = createSharedTimer(STEP_MILLIS);

/**
 * Starts an interval timer that does not keep the process alive. Intervals that
 * are a multiple of the shared step fire from one timer, because each wake-up
 * of an idle process costs more than the work done in it.
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

/** Starts a one-shot timer that does not keep the process alive. */
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
