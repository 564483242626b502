/**
 * Finds disposables that a test left behind.
 */
import type {Disposable} from '../../src/base/lifecycle.js';
import {setDisposableTracker} from '../../src/base/lifecycle.js';

/** Runs a task and returns how many disposables it created and left. */
export async function countLeaks(run: () => Promise<void>): Promise<number> {
  const alive = new Set<Disposable>();
  setDisposableTracker({
    track: disposable => alive.add(disposable),
    markDisposed: disposable => alive.delete(disposable),
  });
  try {
    await run();
  } finally {
    setDisposableTracker(undefined);
  }
  return alive.size;
}
