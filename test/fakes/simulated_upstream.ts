/**
 * One upstream on manual time: calls take as long as a model says.
 */
import type {ManualTimeSource} from './manual_time_source.js';

/** Actions at points of manual time, run in order. */
export interface EventQueue {
  readonly after: (delayMillis: number, action: () => void) => void;
  /** Advances the clock by a duration and runs what falls due on the way. */
  readonly run: (durationMillis: number) => void;
}

/** How a call fares that starts when `startedCount` calls, itself included, run. */
export type UpstreamModel = (startedCount: number) => {
  readonly serviceMillis: number;
  readonly isOverload: boolean;
};

/** The end of a simulated call. */
export interface SimulatedEnd {
  readonly latencyMillis: number | undefined;
  readonly isOverload: boolean;
}

/** Executes calls by a model that may be replaced at any time. */
export interface SimulatedUpstream {
  model: UpstreamModel;
  readonly start: (onEnd: (end: SimulatedEnd) => void) => void;
}

/** Creates a queue without events. */
export function createEventQueue(time: ManualTimeSource): EventQueue {
  const events: {readonly dueMillis: number; readonly action: () => void}[] =
    [];

  function add(dueMillis: number, action: () => void): void {
    let low = 0;
    let high = events.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (events[middle]!.dueMillis > dueMillis) low = middle + 1;
      else high = middle;
    }
    events.splice(low, 0, {dueMillis, action});
  }

  return {
    after: (delayMillis, action) => {
      add(time.monotonicMillis() + delayMillis, action);
    },
    run: durationMillis => {
      const endMillis = time.monotonicMillis() + durationMillis;
      for (;;) {
        const next = events.at(-1);
        if (next === undefined || next.dueMillis > endMillis) break;
        events.pop();
        time.advance(next.dueMillis - time.monotonicMillis());
        next.action();
      }
      time.advance(endMillis - time.monotonicMillis());
    },
  };
}

/** Creates an upstream without calls. */
export function createSimulatedUpstream(
  events: EventQueue,
  model: UpstreamModel,
): SimulatedUpstream {
  let startedCount = 0;
  const upstream: SimulatedUpstream = {
    model,
    start: onEnd => {
      startedCount += 1;
      const {serviceMillis, isOverload} = upstream.model(startedCount);
      events.after(serviceMillis, () => {
        startedCount -= 1;
        const latencyMillis = isOverload ? undefined : serviceMillis;
        onEnd({latencyMillis, isOverload});
      });
    },
  };
  return upstream;
}

/** Uniform numbers in [0, 1) that are the same for the same seed. */
export function createSeededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** A service time with the given mean, exponentially distributed. */
export function exponentialMillis(
  meanMillis: number,
  random: () => number,
): number {
  return -meanMillis * Math.log(1 - random());
}
