/**
 * Call context and call result survive their encoding, and nothing else is
 * taken for one.
 */
import fc from 'fast-check';
import test from 'ava';
import {InvalidInputError} from '../../../src/base/errors.js';
import {
  decodeCallContext,
  encodeCallContext,
} from '../../../src/protocol/call_context.js';
import {
  decodeCallResult,
  encodeCallResult,
} from '../../../src/protocol/call_result.js';

const TEXT = fc.string({minLength: 1, maxLength: 60});
const COUNT = fc.nat({max: 1_000_000});

const CONTEXT = fc.record({
  requestId: TEXT,
  deployment: TEXT,
  policyVersion: COUNT,
  service: TEXT,
  classIndex: fc.nat({max: 63}),
  leftMillis: fc.nat({max: 86_400_000}),
  grantCount: fc.nat({max: 1_000}),
  isRepeatBanned: fc.boolean(),
});

const RESULT = fc.record({
  outcome: fc.constantFrom('not-run', 'unknown', 'ran'),
  unspentCount: COUNT,
  load: fc.record({
    inFlightCount: COUNT,
    queuedCount: COUNT,
    limitCount: COUNT,
    refusedFromClassIndex: COUNT,
  }),
  isDependencyFailed: fc.boolean(),
  isDependencyRefused: fc.boolean(),
  bodyDigest: fc.option(TEXT, {nil: undefined}),
  failure: fc.option(
    fc.record({
      reason: fc.constantFrom('shed', 'draining', 'connection-lost'),
      step: TEXT,
      peer: TEXT,
      retryAfterMillis: fc.option(COUNT, {nil: undefined}),
    }),
    {nil: undefined},
  ),
});

/** Only visible characters may stand in a header. */
const HEADER_SAFE = /^[\x20-\x7e]*$/;

test('a call context is decoded as it was encoded', t => {
  fc.assert(
    fc.property(CONTEXT, context => {
      const encoded = encodeCallContext(context);
      t.regex(encoded, HEADER_SAFE);
      t.deepEqual(decodeCallContext(encoded), context);
    }),
    {seed: 1},
  );
});

test('a call result is decoded as it was encoded', t => {
  fc.assert(
    fc.property(RESULT, result => {
      const encoded = encodeCallResult(result);
      t.regex(encoded, HEADER_SAFE);
      t.deepEqual(decodeCallResult(encoded), result);
    }),
    {seed: 1},
  );
});

/** An encoded context with one field dropped, emptied or replaced. */
const DAMAGED = fc
  .tuple(
    CONTEXT,
    fc.constantFrom('v', 'rid', 'dep', 'pv', 'svc', 'cl', 'left', 'grant'),
    fc.constantFrom(undefined, '', '-1', '1e9', 'x'.repeat(200)),
  )
  .map(([context, name, value]) => {
    const fields = new URLSearchParams(encodeCallContext(context));
    if (value === undefined) fields.delete(name);
    else fields.set(name, value);
    return fields.toString();
  })
  .filter(encoded => !/(?:rid|dep|svc)=(?:-1|1e9)/.test(encoded));

test('a damaged call context is refused as invalid input', t => {
  fc.assert(
    fc.property(fc.oneof(DAMAGED, fc.string()), encoded => {
      t.throws(() => decodeCallContext(encoded), {
        instanceOf: InvalidInputError,
      });
    }),
    {seed: 1},
  );
});
