import test from 'ava';
import {createFailedDispatches} from '../../../../src/process/retries/failed_dispatches.js';

test('the connections on which an order was rejected are remembered beyond its deadline', t => {
  // Guards against a copy of a rejection that counts once the first one is forgotten.
  let now = 0;
  const orders = createFailedDispatches(() => now);
  orders.add('o1', 1, 5000);
  orders.add('o1', 2, 5000);
  for (let index = 0; index < 10_000; index += 1) {
    orders.add(`other-${String(index)}`, 3, 5000);
  }
  now = 34_999;
  orders.add('o2', 1, 40_000);
  t.deepEqual([...orders.connectionIdsOf('o1')], [1, 2]);
  now = 35_000;
  orders.add('o3', 1, 40_000);
  t.deepEqual([...orders.connectionIdsOf('o1')], []);
  t.deepEqual([...orders.connectionIdsOf('o2')], [1]);
});
