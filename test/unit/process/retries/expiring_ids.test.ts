import test from 'ava';
import {createExpiringIds} from '../../../../src/process/retries/expiring_ids.js';

test('ids are remembered for their own time', t => {
  let now = 0;
  const ids = createExpiringIds(() => now);
  ids.add('long', 1000);
  ids.add('short', 500);
  t.true(ids.has('short'));
  t.false(ids.has('other'));
  now = 500;
  ids.add('next', 2000);
  t.true(ids.has('long'));
  t.false(ids.has('short'));
  now = 1000;
  t.false(ids.has('long'));
  t.true(ids.has('next'));
});

test('an id that is added again is remembered for the new time', t => {
  let now = 0;
  const ids = createExpiringIds(() => now);
  ids.add('a', 100);
  ids.add('a', 1000);
  now = 100;
  ids.add('b', 200);
  t.true(ids.has('a'));
});
