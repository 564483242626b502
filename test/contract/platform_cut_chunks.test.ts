/**
 * Upstreams that close within the framing of a chunked body.
 */
import test from 'ava';
import {signatureOf} from '../fakes/fake_upstream.js';
import {ORDER_PATH, orderRequest, SAFE_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';

/** Ends of a chunked body that lack at least one byte. */
const CUT_ENDS: readonly string[] = [
  '',
  '5',
  '5;ext',
  '5\r',
  '5\r\nhel',
  '5\r\nhello',
  '5\r\nhello\r\n',
  '0',
  '0\r',
  '0\r\n',
  '0\r\nTrailer: a\r\n',
  '0\r\n\r',
];

/** Bodies that a node buffers completely, and those that it passes on as they arrive. */
const BODY_BYTES = {short: 1000, long: 200_000} as const;

for (const size of ['short', 'long'] as const) {
  for (const kind of ['read', 'order'] as const) {
    test(`a body that ends within the framing of a chunk does not look complete: ${size}, ${kind}`, async t => {
      // Guards against part of a body that its client takes for the whole.
      const fleet = await startFleet(t, {
        services: ['shop', 'orders'],
        paths: [SAFE_PATH, ORDER_PATH],
      });
      const [shop, orders] = fleet.hosts;
      const body = 'x'.repeat(BODY_BYTES[size]);
      orders!.upstream.setHandler(({socket, attemptId}) => {
        const end = CUT_ENDS[Number(attemptId)]!;
        socket.end(
          `HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\n` +
            `Response-Signature: ${signatureOf('i-2', attemptId)}\r\n` +
            'Transfer-Encoding: chunked\r\n\r\n' +
            `${body.length.toString(16)}\r\n${body}\r\n${end}`,
        );
      });
      for (const index of CUT_ENDS.keys()) {
        const attemptId = String(index);
        const {statusCode, isIncomplete} = await fleet.send(
          shop!,
          kind === 'order'
            ? orderRequest(attemptId)
            : {attemptId, path: '/a/1'},
        );
        const isExpected = size === 'short' ? statusCode === 502 : isIncomplete;
        t.true(isExpected, JSON.stringify(CUT_ENDS[index]));
      }
    });
  }
}
