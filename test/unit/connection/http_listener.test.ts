import {once} from 'node:events';
import net from 'node:net';
import test from 'ava';
import type {HttpExchange} from '../../../src/connection/http_listener.js';
import {openHttpListener} from '../../../src/connection/http_listener.js';
import {recordReadRequests} from '../../fakes/read_requests.js';
import {waitUntil} from '../../fakes/wait_until.js';

test('nothing behind an answer that ends its connection is handled', async t => {
  // A request was passed on and ran for nobody: the answer before it had already
  // been written as the last one of the connection, and waited for a third one,
  // still before it, to be sent.
  const read = recordReadRequests(t);
  const exchanges: HttpExchange[] = [];
  const listener = await openHttpListener({
    endpoint: {address: '127.0.0.1', port: 0},
    handle: exchange => {
      exchanges.push(exchange);
      return Promise.resolve();
    },
  });
  const socket = net.connect(listener.port, '127.0.0.1');
  t.teardown(() => {
    socket.destroy();
    return listener.close();
  });
  await once(socket, 'connect');
  let received = '';
  socket.on('data', chunk => {
    received += chunk.toString('latin1');
  });
  const ask = (path: string): void => {
    socket.write(`GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`);
  };
  ask('/1');
  ask('/2');
  await waitUntil('two read', () => exchanges.length === 2);
  const [first, second] = exchanges;
  t.false(first!.isNewestOnConnection());
  t.true(second!.isNewestOnConnection());
  second!.ignoreFurtherRequests();
  second!.response.writeHead(200, {connection: 'close', 'content-length': 0});
  second!.response.end();
  ask('/3');
  await waitUntil('third read', () => read.length === 3);
  first!.response.writeHead(200, {'content-length': 0});
  first!.response.end();
  await waitUntil('closed', () => socket.closed);
  t.deepEqual(
    exchanges.map(({request}) => request.url),
    ['/1', '/2'],
  );
  t.is(received.match(/HTTP\/1\.1 200 /g)?.length, 2);
  t.is(listener.busyCount, 0);
});

test('a request that the system has accepted is handled though the listener closes', async t => {
  // Clients saw their connection reset beside a planned restart, for a request
  // that nobody had read: it was in the queue of a listener that closed.
  const listener = await openHttpListener({
    endpoint: {address: '127.0.0.1', port: 0},
    handle: ({response}) => {
      response.writeHead(503, {connection: 'close', 'content-length': 0});
      response.end();
      return Promise.resolve();
    },
  });
  const socket = net.connect(listener.port, '127.0.0.1');
  t.teardown(() => socket.destroy());
  socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  let received = '';
  let failure: NodeJS.ErrnoException | undefined;
  socket.on('data', chunk => {
    received += chunk.toString('latin1');
  });
  socket.on('error', error => {
    failure = error;
  });
  // The system has accepted it, and the listener has had no turn since.
  await new Promise(process.nextTick);
  await listener.close();
  await waitUntil('closed', () => socket.closed);
  t.is(failure?.code, undefined);
  t.regex(received, /^HTTP\/1\.1 503 /);
});
