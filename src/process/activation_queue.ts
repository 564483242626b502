/**
 * Accepted policy versions on their way into force.
 */
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore} from '../base/lifecycle.js';
import type {TimeSource} from '../base/time_source.js';
import type {CompiledPolicy} from '../version/policy.js';

/** Versions that may wait for their activation at the same time. */
export const MAX_WAITING_COUNT = 15;

/** Calls back once after a delay; disposing of the result cancels it. */
export type ActivationScheduler = (
  delayMillis: number,
  onElapsed: () => void,
) => Disposable;

/** What an activation queue depends on. */
export interface ActivationQueueOptions {
  readonly time: TimeSource;
  readonly schedule: ActivationScheduler;
  readonly onActivate: (compiled: CompiledPolicy) => void;
  /** Called for a version dropped because too many wait. */
  readonly onSkip: (compiled: CompiledPolicy) => void;
}

/** Versions waiting for activation and the one in force. */
export interface ActivationQueue extends Disposable {
  /** Adds a version newer than all before; the first is in force at once. */
  add(compiled: CompiledPolicy): void;
  /** Activates what is due and returns the version in force. */
  inForce(): CompiledPolicy | undefined;
  /** Versions not in force yet, oldest first. */
  waiting(): readonly CompiledPolicy[];
}

interface WaitingVersion {
  readonly compiled: CompiledPolicy;
  readonly dueMonotonicMillis: number;
}

/** Creates an empty queue. */
export function createActivationQueue(
  options: ActivationQueueOptions,
): ActivationQueue {
  const {time, schedule, onActivate, onSkip} = options;
  const resources = createDisposableStore();
  /** In order of version; all are newer than the one in force. */
  let waiting: readonly WaitingVersion[] = [];
  let policyInForce: CompiledPolicy | undefined;
  let timer: Disposable | undefined;

  function add(compiled: CompiledPolicy): void {
    dropLastIfFull();
    const {activationMillis} = compiled.policy.timing;
    const delayMillis = policyInForce === undefined ? 0 : activationMillis;
    const dueMonotonicMillis = time.monotonicMillis() + delayMillis;
    waiting = [...waiting, {compiled, dueMonotonicMillis}];
    activateDue();
    armTimer();
  }

  /**
   * Dropping the oldest would let a stream of versions put off every activation
   * for ever; dropping the last keeps the oldest on time.
   */
  function dropLastIfFull(): void {
    const last = waiting.at(-1);
    if (waiting.length < MAX_WAITING_COUNT || last === undefined) return;
    waiting = waiting.slice(0, -1);
    onSkip(last.compiled);
  }

  /** Puts the newest due version in force; older ones still waiting lapse. */
  function activateDue(): void {
    const nowMillis = time.monotonicMillis();
    const dueIndex = waiting.findLastIndex(
      ({dueMonotonicMillis}) => dueMonotonicMillis <= nowMillis,
    );
    const due = waiting[dueIndex];
    if (due === undefined) return;
    waiting = waiting.slice(dueIndex + 1);
    policyInForce = due.compiled;
    onActivate(due.compiled);
  }

  function armTimer(): void {
    if (timer !== undefined) resources.delete(timer);
    timer = undefined;
    if (resources.isDisposed || waiting.length === 0) return;
    const nextMonotonicMillis = Math.min(
      ...waiting.map(({dueMonotonicMillis}) => dueMonotonicMillis),
    );
    const delayMillis = nextMonotonicMillis - time.monotonicMillis();
    timer = resources.add(
      schedule(Math.max(0, Math.ceil(delayMillis)), onTimer),
    );
  }

  /** Timers may fire a little early, so the next one is always armed anew. */
  function onTimer(): void {
    activateDue();
    armTimer();
  }

  return {
    add,
    // Not left to the timer alone: after a pause of the process timers are late,
    // and requests would enter under a version other hosts no longer use.
    inForce: () => {
      if (waiting.length > 0) activateDue();
      return policyInForce;
    },
    waiting: () => waiting.map(({compiled}) => compiled),
    dispose: () => {
      resources.dispose();
    },
  };
}
