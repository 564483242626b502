import test from 'ava';
import {createStopPlan} from '../../../../src/process/stop/stop_plan.js';

const GRACE_MILLIS = 6000;

test('a running node accepts every request', t => {
  const plan = createStopPlan(() => 0);
  t.false(plan.isStopping);
  t.true(plan.accepts({isFromUpstream: false}));
});

test('client requests are accepted only until clients can detect the stop', t => {
  // Most hosts of a zone restart at once, so their clients keep sending to
  // hosts that stop. A request accepted just before the process exits would be
  // cut off without a response.
  let now = 1000;
  const plan = createStopPlan(() => now);
  plan.begin(GRACE_MILLIS);
  const acceptedMillis: number[] = [];
  for (; now < 1000 + GRACE_MILLIS; now += 10) {
    if (plan.accepts({isFromUpstream: false})) acceptedMillis.push(now - 1000);
    const isAnswerable = now < plan.finishingUntilMillis;
    t.is(plan.accepts({isFromUpstream: true}), isAnswerable);
  }
  t.is(acceptedMillis[0], 0);
  t.is(acceptedMillis.at(-1), 2290);
  t.is(acceptedMillis.length, 230);
});

test('a call that would outlast the grace period is refused', t => {
  // Guards against calls that are passed on and then given up at the end of the
  // grace period, while their upstream is at work.
  let now = 0;
  const plan = createStopPlan(() => now);
  plan.begin(GRACE_MILLIS);
  const call = {isFromUpstream: true, expectedMillis: 1300};
  t.true(plan.accepts(call));
  now = plan.finishingUntilMillis - 1301;
  t.true(plan.accepts(call));
  now = plan.finishingUntilMillis - 1300;
  t.false(plan.accepts(call));
  t.true(plan.accepts({isFromUpstream: true, expectedMillis: 20}));
  t.true(plan.accepts({isFromUpstream: true}));
});

test('accepted requests keep their share of a short grace period', t => {
  const plan = createStopPlan(() => 0);
  plan.begin(2000);
  t.is(plan.acceptingUntilMillis, 1200);
  t.true(plan.acceptingUntilMillis < plan.finishingUntilMillis);
  t.true(plan.finishingUntilMillis < plan.endMillis);
  t.true(plan.endMillis < 2000);
});
