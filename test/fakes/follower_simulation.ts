/**
 * Runs a document follower on a simulated source, on a clock that advances in steps.
 */
import * as Effect from 'effect/Effect';
import * as TestClock from 'effect/testing/TestClock';
import type {DocumentFollowerOptions} from '../../src/connection/document_follower.js';
import {followDocuments} from '../../src/connection/document_follower.js';
import type {SimulatedSource} from './simulated_source.js';

export interface FollowerSimulationOptions extends Omit<
  DocumentFollowerOptions,
  'source' | 'nowMillis'
> {
  readonly source: SimulatedSource;
  readonly clock: ManualClock;
  readonly stepMillis: number;
  readonly endMillis: number;
  /** Called at each step, before the source responds. */
  readonly onStep: (atMillis: number) => void;
}

/** Current time, advanced by the simulation. */
export interface ManualClock {
  millis: number;
}

/** Follows the source until `endMillis`. */
export async function simulateFollower(
  options: FollowerSimulationOptions,
): Promise<void> {
  const {clock, source, stepMillis} = options;
  const follower = followDocuments({
    ...options,
    nowMillis: () => clock.millis,
  });
  const program = Effect.gen(function* () {
    yield* Effect.forkChild(follower);
    while (clock.millis < options.endMillis) {
      clock.millis += stepMillis;
      options.onStep(clock.millis);
      source.tick();
      yield* Effect.promise(() => new Promise(setImmediate));
      yield* TestClock.adjust(stepMillis);
    }
  });
  await Effect.runPromise(Effect.provide(program, TestClock.layer()));
}
