import test from 'ava';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import type * as Fiber from 'effect/Fiber';
import type {
  AdmissionConfig,
  AdmissionController,
  AdmissionRefusal,
  Permit,
} from '../../../src/process/admission_controller.js';
import {createAdmissionController} from '../../../src/process/priority_admission.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';

const CONFIG: AdmissionConfig = {
  slotsCount: 2,
  queueCount: 2,
  queueWaitMillis: 100,
  reservedRatios: [0, 0, 0],
  retryAfterMinimumMillis: 100,
  retryAfterMaximumMillis: 1_000,
};

const DONE = {latencyMillis: 10, isOverload: false};

/** A call as a test sees it. */
interface ObservedCall {
  readonly classIndex: number;
  readonly fiber: Fiber.Fiber<Permit, AdmissionRefusal>;
  permit: Permit | undefined;
  refusal: AdmissionRefusal | undefined;
}

function createFixture(config: Partial<AdmissionConfig> = {}) {
  const time = createManualTimeSource();
  const controller = createAdmissionController({
    config: {...CONFIG, ...config},
    time,
    metrics: createCountingMetrics(),
    random: () => 0.5,
  });
  return {
    time,
    controller,
    call: callOn(controller, time.monotonicMillis.bind(time)),
  };
}

function callOn(controller: AdmissionController, nowMillis: () => number) {
  return (classIndex: number, leftMillis = 10_000): ObservedCall => {
    const fiber = Effect.runFork(
      controller.admit({
        classIndex,
        deadlineMonotonicMillis: nowMillis() + leftMillis,
      }),
    );
    const call: ObservedCall = {
      classIndex,
      fiber,
      permit: undefined,
      refusal: undefined,
    };
    fiber.addObserver(exit => {
      if (Exit.isSuccess(exit)) call.permit = exit.value;
      else {
        call.refusal = Effect.runSync(
          Effect.flip(Effect.failCause(exit.cause)),
        );
      }
    });
    return call;
  };
}

test('a free slot is given at once, the next call when one is released', t => {
  const {controller, call} = createFixture();
  const [a, b, c] = [call(1), call(1), call(1)];
  t.truthy(a.permit);
  t.truthy(b.permit);
  t.is(c.permit, undefined);
  t.is(controller.load().queuedCount, 1);
  a.permit?.release(DONE);
  t.truthy(c.permit);
  t.is(controller.load().inFlightCount, 2);
});
