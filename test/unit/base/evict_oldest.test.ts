import test from 'ava';
import {evictOldest} from '../../../src/base/evict_oldest.js';

test('the key that was added first is evicted beyond the maximum size', t => {
  const record = new Map([
    ['a', 1],
    ['b', 2],
  ]);
  evictOldest(record, 2);
  t.deepEqual([...record.keys()], ['a', 'b']);
  record.set('c', 3);
  evictOldest(record, 2);
  t.deepEqual([...record.keys()], ['b', 'c']);
});

test('the oldest key of a set is evicted, an empty one too', t => {
  const ids = new Set(['', 'a']);
  evictOldest(ids, 1);
  t.deepEqual([...ids], ['a']);
});
