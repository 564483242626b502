import test from 'ava';
import {
  forwardedHeaders,
  withoutConnectionHeaders,
} from '../../../src/connection/raw_headers.js';

const RESPONSE_HEADERS = [
  'Attempt-Id',
  'a1',
  'Connection',
  'keep-alive',
  'Keep-Alive',
  'timeout=10',
  'Content-Length',
  '600',
];

test('connection headers are removed from a response to another node', t => {
  t.deepEqual(withoutConnectionHeaders(RESPONSE_HEADERS), [
    'Attempt-Id',
    'a1',
    'Content-Length',
    '600',
  ]);
});

test('headers listed in Connection and framing headers are not forwarded', t => {
  const headers = [
    'Connection',
    'X-Hop, close',
    'X-Hop',
    '1',
    ...RESPONSE_HEADERS,
  ];
  t.deepEqual(forwardedHeaders(headers, new Set(['attempt-id'])), []);
  t.deepEqual(withoutConnectionHeaders(headers.slice(0, 4)), []);
});
