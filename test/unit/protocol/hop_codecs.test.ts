import test from 'ava';
import fc from 'fast-check';
import type {
  HopResponse,
  HopRequest,
} from '../../../src/protocol/hop_messages.js';
import {
  decodeHopResponse,
  encodeHopResponse,
} from '../../../src/protocol/hop_response_codec.js';
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
    organisationName: 'acme',
    rootId: 'r,;1',
    rootRouteName: 'route "one"',
    rootAgeMillis: 12,
    isRepeat: true,
    repeatsCount: 2,
  },
  knownPosition: {epoch: 3, revision: 4711},
};

const RESPONSE: HopResponse = {
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
  knownPosition: {epoch: 3, revision: 4712},
  message: {
    statusCode: 200,
    headers: ['X-Signature', '1.2.3'],
    isUnframed: true,
    hasRest: false,
  },
};

test('a request and its body are unchanged after encoding and decoding', t => {
  const body = Buffer.from([0, 255, 10, 13]);
  const decoded = decodeHopRequest(encodeHopRequest(REQUEST, body));
  t.deepEqual(decoded?.message, REQUEST);
  t.deepEqual(Buffer.from(decoded?.body ?? []), body);
});

test('a response and its body are unchanged after encoding and decoding', t => {
  const body = Buffer.from('body');
  const decoded = decodeHopResponse(encodeHopResponse(RESPONSE, body));
  t.deepEqual(decoded?.message, RESPONSE);
  t.is(decoded?.body.toString(), 'body');
});

test('a refusal carries no upstream response', t => {
  const refusal: HopResponse = {
    ...RESPONSE,
    outcome: 'refused',
    reason: 'queue-full',
    message: undefined,
  };
  const payload = encodeHopResponse(refusal, Buffer.alloc(0));
  t.deepEqual(decodeHopResponse(payload)?.message, refusal);
});

test('invalid bytes are rejected without throwing', t => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 200}), bytes => {
      const payload = Buffer.from(bytes);
      t.is(decodeHopRequest(payload), undefined);
      t.is(decodeHopResponse(payload), undefined);
    }),
  );
});

/** Changes the encoded fields of a message that has no body. */
function withFields(
  payload: Buffer,
  change: (list: readonly unknown[]) => readonly unknown[],
): Buffer {
  const list = JSON.parse(payload.subarray(4).toString()) as unknown[];
  const text = JSON.stringify(change(list));
  const changed = Buffer.alloc(4 + Buffer.byteLength(text));
  changed.writeUInt32BE(Buffer.byteLength(text), 0);
  changed.write(text, 4);
  return changed;
}

test('a request with a missing or mistyped field is rejected', t => {
  const encoded = encodeHopRequest(REQUEST, Buffer.alloc(0));
  for (const index of [0, 1, 2, 3, 4, 5, 6, 9, 10, 11]) {
    const payload = withFields(encoded, list => list.with(index, null));
    t.is(decodeHopRequest(payload), undefined, `field ${String(index)}`);
  }
});

test('messages without an epoch are decoded', t => {
  // Nodes of two versions run side by side during a release, and the previous
  // version sends no epoch.
  const withoutEpoch = (list: readonly unknown[]) => list.slice(0, -1);
  const request = encodeHopRequest(REQUEST, Buffer.alloc(0));
  t.deepEqual(decodeHopRequest(withFields(request, withoutEpoch))?.message, {
    ...REQUEST,
    knownPosition: {epoch: 0, revision: 4711},
  });
  const response = encodeHopResponse(RESPONSE, Buffer.alloc(0));
  t.deepEqual(decodeHopResponse(withFields(response, withoutEpoch))?.message, {
    ...RESPONSE,
    knownPosition: {epoch: 0, revision: 4712},
  });
});
