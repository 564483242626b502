import test from 'ava';
import {fnvHash} from '../../../src/base/fnv_hash.js';

test('hashes match the published test vectors of 32-bit FNV-1a', t => {
  t.is(fnvHash(''), 0x811c9dc5);
  t.is(fnvHash('a'), 0xe40c292c);
  t.is(fnvHash('foobar'), 0xbf9cf968);
});
