import test from 'ava';
import fc from 'fast-check';
import type {AdmissionConfig} from '../../../src/process/admission_controller.js';
import {createAdmissionController} from '../../../src/process/priority_admission.js';
import type {ObservedCall} from '../../fakes/admission_calls.js';
import {createCallStarter} from '../../fakes/admission_calls.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';
import {createSeededRandom} from '../../fakes/simulated_upstream.js';

const CLASS_COUNT = 4;

type Step =
  | {
      readonly kind: 'arrive';
      readonly classIndex: number;
      readonly left: number;
    }
  | {readonly kind: 'advance'; readonly millis: number}
  | {readonly kind: 'release'; readonly pick: number; readonly latency: number}
  | {readonly kind: 'overload'; readonly pick: number}
  | {readonly kind: 'interrupt'; readonly pick: number}
  | {readonly kind: 'configure'; readonly slots: number};

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('arrive' as const),
      classIndex: fc.nat(CLASS_COUNT - 1),
      left: fc.integer({min: 1, max: 300}),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      millis: fc.integer({min: 1, max: 120}),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('release' as const),
      pick: fc.nat(20),
      latency: fc.integer({min: 1, max: 80}),
    }),
  },
  fc.record({kind: fc.constant('overload' as const), pick: fc.nat(20)}),
  fc.record({kind: fc.constant('interrupt' as const), pick: fc.nat(20)}),
  fc.record({
    kind: fc.constant('configure' as const),
    slots: fc.integer({min: 1, max: 6}),
  }),
);

const configArbitrary: fc.Arbitrary<AdmissionConfig> = fc.record({
  slotsCount: fc.integer({min: 1, max: 6}),
  queueCount: fc.integer({min: 0, max: 6}),
  queueWaitMillis: fc.integer({min: 1, max: 100}),
  reservedRatios: fc.constantFrom(
    [0, 0, 0, 0],
    [0.2, 0.2, 0.2, 0],
    [0.9, 0.5, 0, 0],
  ),
  retryAfterMinimumMillis: fc.constant(100),
  retryAfterMaximumMillis: fc.constant(1_000),
});

/** A call with its arrival and its end, numbered together. */
interface Tracked {
  readonly call: ObservedCall;
  readonly arrivedAt: number;
  settledAt: number;
  isInterrupted: boolean;
}

function runSteps(config: AdmissionConfig, steps: readonly Step[]) {
  const time = createManualTimeSource();
  const controller = createAdmissionController({
    config,
    time,
    metrics: createCountingMetrics(),
    random: createSeededRandom(1),
  });
  let sequence = 0;
  const settledAt = new Map<ObservedCall, number>();
  const start = createCallStarter(controller, time, call => {
    settledAt.set(call, (sequence += 1));
  });
  const tracked: Tracked[] = [];
  const released = new Set<ObservedCall>();
  const sizes: {readonly queued: number; readonly inFlight: number}[] = [];

  function pickRunning(pick: number): ObservedCall | undefined {
    const running = tracked.filter(
      ({call}) => call.permit && !released.has(call),
    );
    return running[pick % Math.max(1, running.length)]?.call;
  }

  function release(pick: number, latency: number | undefined): void {
    const call = pickRunning(pick);
    if (call === undefined) return;
    released.add(call);
    call.permit?.release({
      latencyMillis: latency,
      isOverload: latency === undefined,
    });
  }

  function perform(step: Step): void {
    switch (step.kind) {
      case 'arrive': {
        const arrivedAt = (sequence += 1);
        const call = start(step.classIndex, step.left);
        tracked.push({
          call,
          arrivedAt,
          settledAt: Infinity,
          isInterrupted: false,
        });
        break;
      }
      case 'advance':
        time.advance(step.millis);
        controller.dropExpired();
        break;
      case 'release':
        release(step.pick, step.latency);
        break;
      case 'overload':
        release(step.pick, undefined);
        break;
      case 'interrupt': {
        const waiting = tracked.filter(({call}) => !settledAt.has(call));
        const chosen = waiting[step.pick % Math.max(1, waiting.length)];
        if (chosen === undefined) break;
        chosen.isInterrupted = true;
        chosen.call.interrupt();
        break;
      }
      case 'configure':
        controller.configure({...config, slotsCount: step.slots});
        break;
    }
  }

  for (const step of steps) {
    perform(step);
    const load = controller.load();
    sizes.push({queued: load.queuedCount, inFlight: load.inFlightCount});
  }
  while (pickRunning(0) !== undefined) release(0, 10);
  time.advance(1_000);
  controller.dropExpired();
  for (const item of tracked) {
    item.settledAt = settledAt.get(item.call) ?? Infinity;
  }
  return {tracked, sizes, load: controller.load()};
}

/** Whether a less important call got or kept what the refused one lacked. */
function isPreferred(refused: Tracked, other: Tracked): boolean {
  if (other.call.classIndex <= refused.call.classIndex) return false;
  const isQueuedThen =
    other.arrivedAt < refused.settledAt && other.settledAt > refused.settledAt;
  const isAdmittedMeanwhile =
    other.call.permit !== undefined &&
    other.settledAt > refused.arrivedAt &&
    other.settledAt < refused.settledAt;
  return isQueuedThen || isAdmittedMeanwhile;
}

test('no call is refused while a less important one is queued or admitted', t => {
  // Symptom: an order is refused, and page views that came after it are
  // answered. Arrivals, ends, pauses and limits interleave in any order.
  // Cause: a refusal by deadline or wait that leaves later classes queued.
  fc.assert(
    fc.property(
      configArbitrary,
      fc.array(stepArbitrary, {maxLength: 80}),
      (config, steps) => {
        const {tracked, sizes, load} = runSteps(config, steps);
        for (const refused of tracked) {
          const reason = refused.call.refusal?.reason;
          if (reason === undefined || reason === 'deadline-exceeded') continue;
          if (tracked.some(other => isPreferred(refused, other))) return false;
        }
        const isBounded = sizes.every(
          size => size.queued <= config.queueCount && size.inFlight <= 6,
        );
        const isSettledOnce = tracked.every(({call, isInterrupted}) =>
          call.permit === undefined
            ? call.refusal !== undefined || isInterrupted
            : call.refusal === undefined,
        );
        const isEmpty = load.inFlightCount === 0 && load.queuedCount === 0;
        return isBounded && isSettledOnce && isEmpty;
      },
    ),
    {numRuns: 2_000, seed: 20_261_202},
  );
  t.pass();
});
