import test from 'ava';
import type {AdmissionConfig} from '../../../src/process/admission_controller.js';
import {createAdmissionController} from '../../../src/process/priority_admission.js';
import {createCallStarter} from '../../fakes/admission_calls.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';

const CONFIG: AdmissionConfig = {
  slotsCount: 2,
  queueCount: 2,
  queueWaitMillis: 100,
  reservedRatios: [0, 0, 0],
  retryAfterMinimumMillis: 100,
  retryAfterMaximumMillis: 1_000,
};

const DONE = {latencyMillis: 10, isOverload: false};

function createFixture(config: Partial<AdmissionConfig> = {}) {
  const time = createManualTimeSource();
  const metrics = createCountingMetrics();
  const controller = createAdmissionController({
    config: {...CONFIG, ...config},
    time,
    metrics,
    random: () => 0.5,
  });
  const call = createCallStarter(controller, time);
  return {time, metrics, controller, call};
}

test('a free slot is given at once, the next call when one is released', t => {
  const {controller, call} = createFixture();
  const [first, second, waiting] = [call(1), call(1), call(1)];
  t.truthy(first.permit);
  t.truthy(second.permit);
  t.is(waiting.permit, undefined);
  t.is(controller.load().queuedCount, 1);
  first.permit?.release(DONE);
  first.permit?.release(DONE);
  t.truthy(waiting.permit);
  t.is(controller.load().inFlightCount, 2);
});

test('the most important waiting class is served first, oldest call first', t => {
  const {call} = createFixture({slotsCount: 1, queueCount: 9});
  const running = call(0);
  const calls = [call(2), call(0), call(1), call(0)];
  running.permit?.release(DONE);
  const order: number[] = [];
  for (let served = 0; served < calls.length; served += 1) {
    const index = calls.findIndex(
      (candidate, position) => candidate.permit && !order.includes(position),
    );
    order.push(index);
    calls[index]?.permit?.release(DONE);
  }
  t.deepEqual(order, [1, 3, 2, 0]);
});

test('a full queue evicts the least important call, at once', t => {
  // Symptom: an order is refused while page views wait. The queue fills with
  // page views, an order arrives last. Cause: the newcomer is the one refused.
  const {call} = createFixture({slotsCount: 1});
  call(2);
  const [first, second] = [call(2), call(1)];
  const order = call(0);
  t.is(first.refusal?.reason, 'queue-full');
  t.is(order.refusal, undefined);
  const another = call(0);
  t.is(second.refusal?.reason, 'queue-full');
  t.is(another.refusal, undefined);
  t.is(call(0).refusal?.reason, 'queue-full');
});

test('lower classes leave the reserve free', t => {
  const {call} = createFixture({
    slotsCount: 10,
    reservedRatios: [0.2, 0.3, 0],
  });
  const admittedCounts = [2, 1, 0].map(
    classIndex =>
      Array.from({length: 10}, () => call(classIndex)).filter(
        candidate => candidate.permit,
      ).length,
  );
  t.deepEqual(admittedCounts, [5, 3, 2]);
});

test('a call that cannot meet its deadline is refused at once', t => {
  // Symptom: slots are busy with answers nobody waits for. A call with 5 ms
  // left is queued or run although the upstream takes 10 ms at best. Cause:
  // the deadline is only looked at when it has passed.
  const {call} = createFixture({slotsCount: 1});
  call(1).permit?.release(DONE);
  t.is(call(1, 5).refusal?.reason, 'deadline-exceeded');
  const running = call(1, 50);
  t.truthy(running.permit);
  t.falsy(call(1, 50).refusal);
  t.is(call(1, 15).refusal?.reason, 'shed', 'one call ahead takes 10 ms');
});

test('an estimate from a slow spell does not refuse for ever', t => {
  // Symptom: a host refuses everything long after its upstream recovered. One
  // answer took 500 ms; every call after it has less time. Cause: refused
  // calls bring no samples, so the estimate never changes.
  const {time, call} = createFixture();
  call(0).permit?.release({latencyMillis: 500, isOverload: false});
  t.is(call(0, 300).refusal?.reason, 'deadline-exceeded');
  time.advance(1_000);
  t.truthy(call(0, 300).permit);
});

test('after a pause expired calls are dropped, not run', t => {
  // Symptom: after a process pause the upstream works through dead calls. The
  // process sleeps for seconds with a full queue, then a slot comes free.
  // Cause: the queue is served in order without a look at the clock.
  const {time, controller, call} = createFixture({slotsCount: 1});
  const running = call(0);
  const [important, other] = [call(0), call(1)];
  time.advance(5_000);
  controller.dropExpired();
  t.is(important.refusal?.reason, 'queue-timeout');
  t.is(other.refusal?.reason, 'queue-timeout');
  running.permit?.release(DONE);
  t.is(controller.load().inFlightCount, 0);
});

test('interruption takes a call out of the queue', t => {
  const {controller, call} = createFixture({slotsCount: 1});
  const running = call(0);
  const waiting = call(0);
  waiting.interrupt();
  t.is(controller.load().queuedCount, 0);
  running.permit?.release(DONE);
  t.is(waiting.permit, undefined);
  t.is(controller.load().inFlightCount, 0);
});

test('draining refuses new calls and runs queued ones', t => {
  const {controller, call} = createFixture({slotsCount: 1});
  const running = call(0);
  const waiting = call(1);
  controller.startDraining();
  t.is(call(0).refusal?.reason, 'draining');
  t.is(controller.load().refusedFromClassIndex, 0);
  running.permit?.release(DONE);
  t.truthy(waiting.permit);
});

test('a standing queue sheds its lowest class and recovers without traffic', t => {
  // Symptom: a class stays refused after a surge is over. Callers' nodes stop
  // sending it on the word of the last report. Cause: only an admitted call
  // would lift the level.
  const {time, controller, call} = createFixture({
    slotsCount: 1,
    queueCount: 9,
  });
  const running = call(0);
  const calls: ReturnType<typeof call>[] = [];
  const levels: number[] = [];
  for (let step = 0; step < 8; step += 1) {
    levels.push(controller.load().refusedFromClassIndex);
    calls.push(call(2), call(1));
    time.advance(20);
  }
  t.deepEqual(levels, [3, 3, 3, 3, 2, 2, 2, 1], 'above 25 ms for 50 ms each');
  time.advance(25);
  controller.dropExpired();
  t.true(calls.every(shed => shed.refusal));
  running.permit?.release(DONE);
  const recovered = [1, 2, 3].map(() => {
    time.advance(100);
    return controller.load().refusedFromClassIndex;
  });
  t.deepEqual(recovered, [2, 3, 3]);
});

test('a refused class still gets slots that are free', t => {
  // Symptom: goodput halves under a surge of one class. The class is shed, the
  // slots run empty while the level holds. Cause: the level refuses calls that
  // need not wait.
  const {controller, call} = createFixture({slotsCount: 1, queueCount: 1});
  const running = call(0);
  call(0);
  call(0);
  t.is(controller.load().refusedFromClassIndex, 1);
  running.permit?.release(DONE);
  controller.configure({...CONFIG, slotsCount: 2});
  t.truthy(call(2).permit);
});

test('a caller that asks again while it is refused does not overfill the queue', t => {
  // Symptom: more calls wait than the policy allows. An evicted call's caller
  // retries at once, inside the eviction. Cause: the caller is told before the
  // newcomer has taken the place.
  const {time, controller, metrics} = createFixture({
    slotsCount: 1,
    queueCount: 1,
  });
  const start = createCallStarter(controller, time, settled => {
    if (settled.refusal && metrics.countOf('admission.refused') < 2) start(1);
  });
  start(0);
  start(2);
  start(1);
  t.is(controller.load().queuedCount, 1);
  t.is(metrics.countOf('admission.refused'), 2);
});

test('Retry-After stays in its range and grows with the share refused', t => {
  const {call} = createFixture({slotsCount: 1, queueCount: 0});
  for (let count = 0; count < 9; count += 1) call(0).permit?.release(DONE);
  call(0);
  const first = call(0).refusal?.retryAfterMillis ?? 0;
  for (let count = 0; count < 100; count += 1) call(0);
  const later = call(0).refusal?.retryAfterMillis ?? 0;
  t.is(first, 145, 'a tenth of the range, half way');
  t.is(later, 510, 'refused 102 of 112, half way');
});
