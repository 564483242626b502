import test from 'ava';
import {runStopSequence} from '../../../src/daemon/stop_sequence.js';
import {waitUntil} from '../../fakes/wait_until.js';
import type {StopStep} from '../../../src/daemon/stop_sequence.js';

/** Step of the clock, which advances once in each turn of the event loop. */
const TICK_MILLIS = 10;

interface StopCase {
  readonly title: string;
  /** Durations from the start of the step `closing`. */
  readonly closesAfterMillis: number;
  readonly deliveringMillis: number;
  readonly graceMillis: number;
  readonly endsAfterMillis: readonly [number, number];
}

const CASES: readonly StopCase[] = [
  {
    title: 'until the last connection is closed',
    closesAfterMillis: 100,
    deliveringMillis: 5000,
    graceMillis: 10_000,
    endsAfterMillis: [100, 5000],
  },
  {
    title: 'while a client reads a long response',
    closesAfterMillis: 100_000,
    deliveringMillis: 1200,
    graceMillis: 10_000,
    endsAfterMillis: [1200, 10_000],
  },
  {
    title: 'no longer than the grace period',
    closesAfterMillis: 100_000,
    deliveringMillis: 10_000,
    graceMillis: 800,
    endsAfterMillis: [800, 10_000],
  },
  {
    title: 'briefly for clients that keep their connections open',
    closesAfterMillis: 100_000,
    deliveringMillis: 0,
    graceMillis: 10_000,
    endsAfterMillis: [500, 10_000],
  },
];

for (const stopCase of CASES) {
  test(`a stop waits ${stopCase.title}`, async t => {
    // Guards against long responses that the end of the process cuts, and against stops
    // that last as long as clients keep their connections open.
    const {closesAfterMillis, deliveringMillis, graceMillis} = stopCase;
    let clockMillis = 0;
    const clock = setInterval(() => (clockMillis += TICK_MILLIS), 1);
    t.teardown(() => {
      clearInterval(clock);
    });
    const steps: StopStep[] = [];
    await runStopSequence({
      node: {
        busyCount: () => 0,
        executingCount: () => 0,
        cancelRequests: () => undefined,
        closeListeners: () =>
          waitUntil('closed', () => clockMillis >= closesAfterMillis),
        deliveringUntilMillis: () => deliveringMillis,
      },
      plan: {
        isStopping: true,
        acceptingUntilMillis: 0,
        finishingUntilMillis: 0,
        endMillis: graceMillis,
        begin: () => undefined,
        accepts: () => false,
      },
      nowMillis: () => clockMillis,
      onStep: step => steps.push(step),
    });
    const [minMillis, maxMillis] = stopCase.endsAfterMillis;
    t.true(clockMillis >= minMillis, `ended after ${String(clockMillis)} ms`);
    t.true(clockMillis < maxMillis, `ended after ${String(clockMillis)} ms`);
    t.deepEqual(steps, ['taking', 'finishing', 'closing', 'ended']);
  });
}
