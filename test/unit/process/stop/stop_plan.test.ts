import test from 'ava';
import {createStopPlan} from '../../../../src/process/stop/stop_plan.js';

const GRACE_MILLIS = 6000;

test('a node that runs takes everything', t => {
  const plan = createStopPlan(() => 0);
  t.false(plan.isStopping);
  t.true(plan.accepts({isFromUpstream: false}));
});

test('a press of clients that find no other host ends with the notice', t => {
  // Most hosts of a zone restart at once, so that their clients keep coming to
  // hosts that stop. What is taken a moment before the process ends is
  // cut off without an answer.
  let now = 1000;
  const plan = createStopPlan(() => now);
  plan.begin(GRACE_MILLIS);
  const takenMillis: number[] = [];
  for (; now < 1000 + GRACE_MILLIS; now += 10) {
    if (plan.accepts({isFromUpstream: false})) takenMillis.push(now - 1000);
    const isAnswerable = now < plan.finishingUntilMillis;
    t.is(plan.accepts({isFromUpstream: true}), isAnswerable);
  }
  t.is(takenMillis[0], 0);
  t.is(takenMillis.at(-1), 2290);
  t.is(takenMillis.length, 230);
});

test('what was taken keeps its part of a short grace', t => {
  const plan = createStopPlan(() => 0);
  plan.begin(2000);
  t.is(plan.acceptingUntilMillis, 1200);
  t.true(plan.acceptingUntilMillis < plan.finishingUntilMillis);
  t.true(plan.finishingUntilMillis < plan.endMillis);
  t.true(plan.endMillis < 2000);
});
