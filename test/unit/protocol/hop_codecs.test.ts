import test from 'ava';
import fc from 'fast-check';
import type {
  HopAnswer,
  HopRequest,
} from '../../../src/protocol/hop_messages.js';
import {
  decodeHopAnswer,
  encodeHopAnswer,
} from '../../../src/protocol/hop_answer_codec.js';
import {
  decodeHopRequest,
  encodeHopRequest,
} from '../../../src/protocol/hop_request_codec.js';

const REQUEST: HopRequest = {
  hopId: 'abc1',
  attemptId: 'a-1',
  upstreamId: 'u-1',
  callerService: 'shop',
  method: 'POST',
  target: '/orders/1?x=%20',
  headers: ['Host', 'a.example', 'X-Name', 'M\u00fcller'],
  isRepeatable: false,
  bodyForm: 'held-back',
  leftMillis: 1500,
  startWithinMillis: 300,
  origin: {
    importance: 70,
    rootId: 'r,;1',
    rootRouteName: 'route "one"',
    rootAgeMillis: 12,
    isRepeat: true,
    repeatsCount: 2,
  },
  knownRevision: 4711,
};

const ANSWER: HopAnswer = {
  outcome: 'answered',
  reason: 'none',
  hasFailedCall: true,
  unspentCount: 1,
  calls: new Map([['stock', 4]]),
  loads: [
    {
      upstreamId: 'u-1',
      service: 'stock',
      inFlightCount: 3,
      queuedCount: 1,
      limitCount: 8,
      averageMillis: 41.5,
      level: 120,
      ageMillis: 7,
    },
  ],
  knownRevision: 4712,
  message: {
    statusCode: 200,
    headers: ['X-Signature', '1.2.3'],
    isUnframed: true,
    hasRest: false,
  },
};

test('a request and its body come back as they were written', t => {
  const body = Buffer.from([0, 255, 10, 13]);
  const decoded = decodeHopRequest(encodeHopRequest(REQUEST, body));
  t.deepEqual(decoded?.message, REQUEST);
  t.deepEqual(Buffer.from(decoded?.body ?? []), body);
});

test('an answer and its body come back as they were written', t => {
  const body = Buffer.from('body');
  const decoded = decodeHopAnswer(encodeHopAnswer(ANSWER, body));
  t.deepEqual(decoded?.message, ANSWER);
  t.is(decoded?.body.toString(), 'body');
});

test('a refusal has no answer of an upstream', t => {
  const refusal: HopAnswer = {
    ...ANSWER,
    outcome: 'refused',
    reason: 'queue-full',
    message: undefined,
  };
  const payload = encodeHopAnswer(refusal, Buffer.alloc(0));
  t.deepEqual(decodeHopAnswer(payload)?.message, refusal);
});

test('bytes that are no message are told apart and never throw', t => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 200}), bytes => {
      const payload = Buffer.from(bytes);
      t.is(decodeHopRequest(payload), undefined);
      t.is(decodeHopAnswer(payload), undefined);
    }),
  );
});

test('a request with a field missing or of another kind is none', t => {
  const whole = encodeHopRequest(REQUEST, Buffer.alloc(0));
  const list = JSON.parse(whole.subarray(4).toString()) as unknown[];
  for (const index of [0, 1, 2, 3, 4, 5, 6, 9, 10, 11]) {
    const changed = [...list];
    changed[index] = null;
    const text = JSON.stringify(changed);
    const payload = Buffer.alloc(4 + Buffer.byteLength(text));
    payload.writeUInt32BE(Buffer.byteLength(text), 0);
    payload.write(text, 4);
    t.is(decodeHopRequest(payload), undefined, `field ${String(index)}`);
  }
});
