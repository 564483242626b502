import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import type {Disposable} from '../../../src/base/lifecycle.js';
import {createIntervalTimer} from '../../../src/base/lifecycle.js';

test('timers whose intervals share a step wake the process together', async t => {
  const wakes = new Set<number>();
  const ticks = new Map<number, number>();
  let wake = 0;
  const timers: Disposable[] = [];
  for (const intervalMillis of [100, 200, 500, 200, 500]) {
    await sleep(17);
    timers.push(
      createIntervalTimer(intervalMillis, () => {
        ticks.set(intervalMillis, (ticks.get(intervalMillis) ?? 0) + 1);
        wakes.add(wake);
        // Runs after the callbacks of this turn of the event loop.
        setImmediate(() => {
          wake += 1;
        });
      }),
    );
  }
  await sleep(2000);
  for (const timer of timers) timer.dispose();
  const ticksCount = [...ticks.values()].reduce((sum, count) => sum + count, 0);
  const shortest = ticks.get(100) ?? 0;
  t.true(shortest > 5, String(shortest));
  t.true(ticksCount > 1.5 * shortest, String(ticksCount));
  t.true(wakes.size <= shortest + 4, `${String(wakes.size)} wakes`);
});

test('a disposed timer does not fire again', async t => {
  let count = 0;
  const timer = createIntervalTimer(20, () => {
    count += 1;
    if (count === 2) timer.dispose();
  });
  await sleep(300);
  t.is(count, 2);
});
