import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {createCachedClock} from '../../../src/base/cached_clock.js';

test('the clock is read once per event loop turn', async t => {
  let readsCount = 0;
  const nowMillis = createCachedClock(() => {
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
