import fc from 'fast-check';
import test from 'ava';
import type {UpstreamStart} from '../../../../src/process/membership/upstream_start.js';
import {
  compareStarts,
  isSameStart,
} from '../../../../src/process/membership/upstream_start.js';

function start(id: string, bornMillis?: number): UpstreamStart {
  return {id, bornMillis};
}

test('start times order starts, under one id and on one host', t => {
  t.is(compareStarts(start('a', 2), start('a', 1)), 'later');
  t.is(compareStarts(start('a', 1), start('a', 2)), 'earlier');
  t.is(compareStarts(start('a', 1), start('a', 1)), 'same');
  t.is(compareStarts(start('a', 1), start('b', 2)), 'earlier');
  t.is(compareStarts(start('a', 1), start('b', 1)), 'unknown');
});

test('a start without a start time is the earlier one under its id', t => {
  t.is(compareStarts(start('a'), start('a')), 'same');
  t.is(compareStarts(start('a', 1), start('a')), 'later');
  t.is(compareStarts(start('a'), start('a', 1)), 'earlier');
  t.is(compareStarts(start('a'), start('b', 1)), 'unknown');
  t.is(compareStarts(start('a'), start('b')), 'unknown');
});

test('the order is antisymmetric', t => {
  const opposite = {
    same: 'same',
    later: 'earlier',
    earlier: 'later',
    unknown: 'unknown',
  } as const;
  const anyStart = fc.record({
    id: fc.constantFrom('a', 'b'),
    bornMillis: fc.option(fc.integer({min: 0, max: 3}), {nil: undefined}),
  });
  fc.assert(
    fc.property(anyStart, anyStart, (one, other) => {
      const order = compareStarts(one, other);
      return (
        compareStarts(other, one) === opposite[order] &&
        isSameStart(one, other) === (order === 'same')
      );
    }),
  );
  t.pass();
});
