import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {createLoopClock} from '../../../src/base/loop_clock.js';

test('the clock stands still within a turn and moves on with the next', async t => {
  let readsCount = 0;
  const nowMillis = createLoopClock(() => {
    readsCount += 1;
    return readsCount;
  });
  t.is(nowMillis(), 1);
  await Promise.resolve();
  t.is(nowMillis(), 1);
  await sleep(1);
  t.is(nowMillis(), 2);
  t.is(readsCount, 2);
});
