/**
 * How a node ends: everything that it has read is answered.
 *
 * Load pattern: planned restarts of many nodes at once. Clients that find few
 * nodes ready keep coming to those that stop, so that a node which waits until
 * nobody comes any more is cut off in the middle of what it holds.
 */

import type {StopPlan} from '../process/stop_plan.js';

/** What is stopped. */
export interface StoppedParts {
  /** Requests that were read and not yet answered. */
  busyCount(): number;
  /** Requests at the own upstream or waiting for it. */
  executingCount(): number;
  /** Accepts nothing more; resolves when the last connection has ended. */
  closeListeners(): Promise<void>;
}

/** What a stop needs. */
export interface StopOptions {
  readonly parts: StoppedParts;
  readonly plan: StopPlan;
  readonly graceMillis: number;
  readonly nowMillis: () => number;
  /** A step of the stop begins. */
  readonly onStep: (step: StopStep) => void;
}

/** The steps of a stop, in order. */
export type StopStep = 'accepting' | 'finishing' | 'closing' | 'ended';

/**
 * Part of the grace period after which no more connections are accepted even if
 * the own upstream is still at work, whose calls come in by new connections:
 * what was accepted needs the rest of it.
 */
const ACCEPTING_RATIO = 0.6;

/** Last part of the grace period that is left for the process to end. */
const END_MARGIN_MILLIS = 250;

const LOOK_MILLIS = 25;

/** Time that connections opened just before the end have for their request. */
const CLOSE_MILLIS = 500;

/** Resolves when the process may end. */
export async function runStopSequence(options: StopOptions): Promise<void> {
  const {parts, nowMillis} = options;
  const startedMillis = nowMillis();
  const lastMillis = startedMillis + options.graceMillis - END_MARGIN_MILLIS;
  const acceptingUntilMillis = Math.min(
    lastMillis,
    startedMillis + options.graceMillis * ACCEPTING_RATIO,
  );
  options.onStep('accepting');
  await until(
    options,
    acceptingUntilMillis,
    () =>
      nowMillis() >= options.plan.takingUntilMillis &&
      parts.executingCount() === 0,
  );
  options.onStep('finishing');
  const closed = parts.closeListeners();
  await until(options, lastMillis, () => parts.busyCount() === 0);
  options.onStep('closing');
  // A request that came in at the last moment is still answered: what was read
  // and then cut by the end of the process would be lost.
  const endMillis = Math.min(lastMillis, nowMillis() + CLOSE_MILLIS);
  await Promise.race([closed, sleep(endMillis - nowMillis())]);
  options.onStep('ended');
}

async function until(
  {nowMillis}: StopOptions,
  latestMillis: number,
  condition: () => boolean,
): Promise<void> {
  while (nowMillis() < latestMillis && !condition()) await sleep(LOOK_MILLIS);
}

function sleep(millis: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, millis)));
}
