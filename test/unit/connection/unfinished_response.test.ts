import {once} from 'node:events';
import net from 'node:net';
import test from 'ava';
import {sendResponse} from '../../../src/connection/response_sender.js';
import {openHttpListener} from '../../../src/connection/http_listener.js';
import {waitUntil} from '../../fakes/wait_until.js';

for (const [outcome, isSlow] of [
  ['is reset', true],
  ['is complete', false],
] as const) {
  test(`a response without a length ${outcome} on process exit if its reader is ${isSlow ? 'slow' : 'fast'}`, async t => {
    // A client read slowly and the node exited at the end of its grace period. The
    // system closes connections normally on exit, which marks the end of a response
    // without a length, so the client treated a partial response as complete.
    const body = Buffer.alloc(isSlow ? 64 * 1024 * 1024 : 1024);
    const listener = await openHttpListener({
      endpoint: {address: '127.0.0.1', port: 0},
      nowMillis: () => performance.now(),
      handle: exchange => {
        const response = {
          statusCode: 200,
          headers: [],
          isUnframed: true,
          bodyStart: body,
          bodyRest: undefined,
        };
        sendResponse(exchange.response, response, [], {
          method: 'GET',
          onCut: () => undefined,
        });
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
