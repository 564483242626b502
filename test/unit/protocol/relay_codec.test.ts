import fc from 'fast-check';
import test from 'ava';
import type {RelayResponse} from '../../../src/protocol/relay_codec.js';
import {
  decodeRelayResponse,
  decodeRelayQuery,
  encodeRelayResponse,
  encodeRelayQuery,
} from '../../../src/protocol/relay_codec.js';

const POSITION = {epoch: 3, revision: 4711};

test('a query and its responses are unchanged after encoding and decoding', t => {
  const query = {position: POSITION, ageMillis: 950};
  t.deepEqual(decodeRelayQuery(encodeRelayQuery(query)), query);
  const responses: readonly RelayResponse[] = [
    {
      position: POSITION,
      isServing: true,
      changes: [],
      knownUntilOffsetMillis: -20,
    },
    {
      position: POSITION,
      isServing: false,
      changes: undefined,
      knownUntilOffsetMillis: undefined,
    },
    {
      position: POSITION,
      isServing: true,
      knownUntilOffsetMillis: 800,
      changes: [
        {key: 'a', revision: 4712, text: 'M\u00fcller "1"'},
        {key: 'b', revision: 4713, text: undefined},
        {key: 'c', revision: 4714, text: ''},
      ],
    },
  ];
  for (const response of responses) {
    t.deepEqual(decodeRelayResponse(encodeRelayResponse(response)), response);
  }
});

test('messages of earlier releases are decoded without the age of the knowledge', t => {
  const query = Buffer.concat([Buffer.from([2]), Buffer.from('[3,4711]')]);
  t.deepEqual(decodeRelayQuery(query), {
    position: POSITION,
    ageMillis: undefined,
  });
  t.deepEqual(decodeRelayResponse(Buffer.from('[[3,4711],1,[]]')), {
    position: POSITION,
    isServing: true,
    changes: [],
    knownUntilOffsetMillis: undefined,
  });
});

test('a query for loads is not decoded as a query for changes', t => {
  t.is(decodeRelayQuery(Buffer.from([1])), undefined);
  t.is(decodeRelayQuery(Buffer.alloc(0)), undefined);
});

test('invalid bytes are rejected without throwing', t => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 100}), bytes => {
      t.is(decodeRelayQuery(Buffer.from([2, ...bytes])), undefined);
      t.is(decodeRelayResponse(Buffer.from(bytes)), undefined);
    }),
  );
});

test('a response with one malformed change is rejected', t => {
  for (const change of ['[1,2,"x"]', '["a","1","x"]', '1', 'null']) {
    const text = `[[3,4711],1,[["a",4712,"x"],${change}]]`;
    t.is(decodeRelayResponse(Buffer.from(text)), undefined, change);
  }
});
