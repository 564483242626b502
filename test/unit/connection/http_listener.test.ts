import {once} from 'node:events';
import net from 'node:net';
import test from 'ava';
import type {HttpExchange} from '../../../src/connection/http_listener.js';
import {openHttpListener} from '../../../src/connection/http_listener.js';
import {recordReceivedRequests} from '../../fakes/received_requests.js';
import {waitUntil} from '../../fakes/wait_until.js';

test('requests after the one whose response closes the connection are not handled', async t => {
  // The closing response of a connection waits until earlier responses are sent. A
  // request that is read meanwhile can get no response and must not be forwarded.
  const readRequests = recordReceivedRequests(t);
  const exchanges: HttpExchange[] = [];
  const listener = await openHttpListener({
    endpoint: {address: '127.0.0.1', port: 0},
    nowMillis: () => performance.now(),
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
  const sendRequest = (path: string): void => {
    socket.write(`GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`);
  };
  sendRequest('/1');
  sendRequest('/2');
  await waitUntil('two requests read', () => exchanges.length === 2);
  const [first, second] = exchanges;
  t.false(first!.isNewestOnConnection());
  t.true(second!.isNewestOnConnection());
  second!.ignoreFurtherRequests();
  second!.response.writeHead(200, {connection: 'close', 'content-length': 0});
  second!.response.end();
  sendRequest('/3');
  await waitUntil('third request read', () => readRequests.length === 3);
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

test('a request in the accept backlog is handled although the listener closes', async t => {
  // During a planned restart, closing the listener reset connections that were
  // still in its backlog, and their requests were never read.
  const listener = await openHttpListener({
    endpoint: {address: '127.0.0.1', port: 0},
    nowMillis: () => performance.now(),
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
  // The connection is in the backlog; the listener has not accepted it yet.
  await new Promise(process.nextTick);
  await listener.close();
  await waitUntil('closed', () => socket.closed);
  t.is(failure?.code, undefined);
  t.regex(received, /^HTTP\/1\.1 503 /);
});
