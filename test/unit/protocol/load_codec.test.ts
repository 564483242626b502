import test from 'ava';
import type {LoadFields} from '../../../src/protocol/hop_messages.js';
import {decodeLoads, encodeLoads} from '../../../src/protocol/load_codec.js';

const LOAD: LoadFields = {
  upstreamId: 'u-1',
  service: 'catalogue',
  inFlightCount: 3,
  queuedCount: 1,
  limitCount: 17,
  averageMillis: 41.5,
  level: 188,
  ageMillis: 12,
};

const REJECTING: LoadFields = {
  ...LOAD,
  upstreamId: 'u-2',
  rejections: {rejectedPerSecond: 89.6, arrivedPerSecond: 182.5},
};

test('loads are unchanged after encoding and decoding', t => {
  t.deepEqual(decodeLoads(encodeLoads([LOAD, REJECTING])), [LOAD, REJECTING]);
});

test('invalid loads are decoded as an empty list without throwing', t => {
  for (const text of ['', '{', '7', '{"a":1}', '[[]]', '[["u",3]]', '[null]']) {
    t.deepEqual(decodeLoads(Buffer.from(text)), [], text);
  }
});
