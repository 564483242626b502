import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {createEventLoopMeter} from '../../../src/base/event_loop_load.js';

const INTERVAL_MILLIS = 200;

/** Time for which the event loop has to be idle for a sample to show it. */
const IDLE_MILLIS = 20;

test('an event loop without a pause is busy all the time', t => {
  const meter = createEventLoopMeter(INTERVAL_MILLIS, () => 0);
  const untilMillis = performance.now() + 2;
  while (performance.now() < untilMillis) continue;
  t.is(meter.sample().busyRatio, 1);
});

test('an event loop that waits is not busy all the time', async t => {
  const meter = createEventLoopMeter(INTERVAL_MILLIS, () => 0);
  await sleep(IDLE_MILLIS);
  t.true(meter.sample().busyRatio < 1);
});

test('the delay of a sample is what exceeds its interval', t => {
  let millis = 0;
  const meter = createEventLoopMeter(INTERVAL_MILLIS, () => millis);
  millis = 250;
  t.is(meter.sample().delayMillis, 50);
  millis = 440;
  t.is(meter.sample().delayMillis, 0);
});
