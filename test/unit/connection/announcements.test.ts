import test from 'ava';
import {decodeAnnouncements} from '../../../src/connection/announcements.js';

const NAMES = {requestLimit: 'server-limit', leaving: 'server-leaving'};

function limitOf(...values: readonly string[]) {
  const headers = values.flatMap(value => ['Server-Limit', value]);
  return decodeAnnouncements(headers, NAMES).limit;
}

test('a response without announcements announces nothing', t => {
  const headers = ['attempt-id', 'a', 'server-limits', '5', 'x', '1'];
  t.deepEqual(decodeAnnouncements(headers, NAMES), {
    limit: {kind: 'none'},
    isLeaving: false,
  });
});

test('limits are decimal numbers of any size', t => {
  for (const [text, perSecond] of [
    ['5.1', 5.1],
    [' 11 ', 11],
    ['0', 0],
    ['0.25', 0.25],
    ['999999999999', 999_999_999_999],
  ] as const) {
    t.deepEqual(limitOf(text), {kind: 'limited', perSecond});
  }
});

test('a value that is no decimal number is reported as invalid', t => {
  // Guards against a malformed limit that blocks an upstream or lifts its limit.
  for (const text of ['', '-1', 'NaN', '1e3', '5.', '.5', '0x5', '5,1']) {
    t.is(limitOf(text).kind, 'invalid', text);
  }
});

test('of several limits in one response the lowest valid one applies', t => {
  t.deepEqual(limitOf('9', '5', 'x'), {kind: 'limited', perSecond: 5});
  t.deepEqual(limitOf('x', '7'), {kind: 'limited', perSecond: 7});
});

test('only the value 1 announces that an upstream is leaving', t => {
  const isLeaving = (value: string): boolean =>
    decodeAnnouncements(['SERVER-LEAVING', value], NAMES).isLeaving;
  t.true(isLeaving('1'));
  t.false(isLeaving('0'));
  t.false(isLeaving(''));
});
