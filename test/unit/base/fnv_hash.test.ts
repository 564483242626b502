import test from 'ava';
import {fnvHash} from '../../../src/base/fnv_hash.js';

test('hashes are the published ones of FNV-1a with 32 bits', t => {
  t.is(fnvHash(''), 0x811c9dc5);
  t.is(fnvHash('a'), 0xe40c292c);
  t.is(fnvHash('foobar'), 0xbf9cf968);
});
