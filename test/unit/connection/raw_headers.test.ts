import test from 'ava';
import {
  forwardedHeaders,
  withoutConnectionHeaders,
} from '../../../src/connection/raw_headers.js';

const ANSWER = [
  'Attempt-Id',
  'a1',
  'Connection',
  'keep-alive',
  'Keep-Alive',
  'timeout=10',
  'Content-Length',
  '600',
];

test('an answer goes to another node without what its connection said', t => {
  t.deepEqual(withoutConnectionHeaders(ANSWER), [
    'Attempt-Id',
    'a1',
    'Content-Length',
    '600',
  ]);
});

test('what a connection names is its own, and frames are made anew', t => {
  const named = ['Connection', 'X-Hop, close', 'X-Hop', '1', ...ANSWER];
  t.deepEqual(forwardedHeaders(named, new Set(['attempt-id'])), []);
  t.deepEqual(withoutConnectionHeaders(named.slice(0, 4)), []);
});
