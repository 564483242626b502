import {once} from 'node:events';
import type {IncomingMessage} from 'node:http';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {createLongBody} from '../../../src/connection/long_body.js';
import {BODY_REST_WINDOW_BYTES} from '../../../src/connection/body_rest_sender.js';

const BODY = Buffer.alloc(8_000_000, 'x');

test('a long body is passed on in pieces that fit the window of their reader', async t => {
  // Guards against a connection between nodes that is cut for a frame beyond the
  // maximum: one turn of the event loop reads megabytes of a fast upstream.
  const server = http.createServer((_, response) => {
    response.end(BODY);
  });
  t.teardown(() => server.close());
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const request = http.get({host: '127.0.0.1', port, agent: false});
  const [message] = (await once(request, 'response')) as [IncomingMessage];
  const body = createLongBody(message);
  let receivedBytes = 0;
  let maxPieceBytes = 0;
  body.on('data', (piece: Buffer) => {
    receivedBytes += piece.length;
    maxPieceBytes = Math.max(maxPieceBytes, piece.length);
    body.pause();
    setTimeout(() => body.resume(), 1);
  });
  await once(body, 'end');
  t.is(receivedBytes, BODY.length);
  t.log(maxPieceBytes);
  t.true(maxPieceBytes <= BODY_REST_WINDOW_BYTES, String(maxPieceBytes));
});
