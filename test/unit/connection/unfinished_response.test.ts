import {once} from 'node:events';
import net from 'node:net';
import test from 'ava';
import {sendResponse} from '../../../src/connection/response_sender.js';
import {openHttpListener} from '../../../src/connection/http_listener.js';
import {waitUntil} from '../../fakes/wait_until.js';

for (const [what, isSlow] of [
  ['is reset', true],
  ['is whole', false],
] as const) {
  test(`an answer without a length ${what} as the process ends, to a reader that is ${isSlow ? 'slow' : 'quick'}`, async t => {
    // A client took part of an answer for the whole one. All of it had come from the
    // upstream and its client read slowly when the grace of its node was over: a
    // connection that the end of the process closes ends in good order, which is how
    // an answer without a length ends.
    const body = Buffer.alloc(isSlow ? 64 * 1024 * 1024 : 1024);
    const listener = await openHttpListener({
      endpoint: {address: '127.0.0.1', port: 0},
      handle: exchange => {
        const answer = {
          statusCode: 200,
          headers: [],
          isUnframed: true,
          bodyStart: body,
          bodyRest: undefined,
        };
        sendResponse(exchange.response, answer, [], 'GET');
        return Promise.resolve();
      },
    });
    const socket = net.connect(listener.port, '127.0.0.1');
    t.teardown(() => {
      socket.destroy();
      return listener.close();
    });
    let errorCode: string | undefined;
    socket.on(
      'error',
      (error: NodeJS.ErrnoException) => (errorCode = error.code),
    );
    await once(socket, 'connect');
    socket.write('GET /1 HTTP/1.1\r\nhost: a\r\n\r\n');
    await once(socket, 'readable');
    listener.resetUnfinished();
    let receivedBytes = 0;
    socket.on('data', (chunk: Buffer) => (receivedBytes += chunk.length));
    await waitUntil('closed', () => socket.closed);
    t.is(errorCode, isSlow ? 'ECONNRESET' : undefined);
    t.is(receivedBytes > body.length, !isSlow);
  });
}
