import {once} from 'node:events';
import net from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {
  HttpExchange,
  HttpListener,
} from '../../../src/connection/http_listener.js';
import {openHttpListener} from '../../../src/connection/http_listener.js';
import {closeLingering} from '../../../src/connection/lingering_close.js';
import {waitUntil} from '../../fakes/wait_until.js';

const LONG_BODY = Buffer.alloc(1_000_000, 'x');
/** Time that clients have to read a short response. */
const SHORT_RESPONSE_LINGER_MILLIS = 5000;
const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

interface Client {
  readonly socket: Socket;
  readonly received: string;
  readonly errorCode: string | undefined;
  readonly hasEnded: boolean;
}

/** A connection that reads nothing until it is resumed. */
async function connectPaused(
  t: ExecutionContext,
  port: number,
): Promise<Client> {
  const socket = net.connect({port, host: '127.0.0.1', allowHalfOpen: true});
  t.teardown(() => socket.destroy());
  const client = {
    socket,
    received: '',
    errorCode: undefined as string | undefined,
    hasEnded: false,
  };
  socket.on('data', chunk => (client.received += chunk.toString('latin1')));
  socket.on('end', () => (client.hasEnded = true));
  socket.on('error', (error: NodeJS.ErrnoException) => {
    client.errorCode = error.code;
  });
  socket.pause();
  await once(socket, 'connect');
  return client;
}

async function startListener(
  t: ExecutionContext,
  handle: (exchange: HttpExchange) => void,
): Promise<HttpListener> {
  const listener = await openHttpListener({
    endpoint: {address: '127.0.0.1', port: 0},
    handle: exchange => {
      handle(exchange);
      return Promise.resolve();
    },
    nowMillis: () => performance.now(),
  });
  t.teardown(() => listener.close());
  return listener;
}

/** Connects until the listener has closed. */
async function waitUntilRefused(port: number): Promise<void> {
  let isRefused = false;
  while (!isRefused) {
    const socket = net.connect({port, host: '127.0.0.1'});
    isRefused = await new Promise(resolve => {
      socket.once('connect', () => {
        resolve(false);
      });
      socket.once('error', () => {
        resolve(true);
      });
    });
    socket.destroy();
  }
}

function respondLong(exchange: HttpExchange, headers: object): void {
  const {response} = exchange;
  exchange.setDeadline(performance.now() + 20_000);
  response.writeHead(200, {...headers, 'content-length': LONG_BODY.length});
  response.end(LONG_BODY);
}

/** Sends requests that no response can follow, then reads. */
async function readAfterRequests(
  client: Client,
  listener: HttpListener,
): Promise<void> {
  await waitUntil(
    'handed to the system',
    () => listener.deliveringCount === 1 && listener.busyCount === 0,
  );
  for (let count = 0; count < 3; count += 1) {
    client.socket.write(REQUEST);
    await sleep(20);
  }
  client.socket.resume();
  await waitUntil('end', () => client.hasEnded || client.socket.closed);
}

function assertWhole(t: ExecutionContext, client: Client): void {
  t.is(client.errorCode, undefined);
  t.is(client.received.split('\r\n\r\n')[1]?.length, LONG_BODY.length);
}

test('a slow reader that sends further requests gets the whole last response', async t => {
  // Guards against downloads that a stopping node cuts with a reset.
  let handledCount = 0;
  const listener = await startListener(t, exchange => {
    handledCount += 1;
    exchange.ignoreFurtherRequests();
    respondLong(exchange, {connection: 'close'});
  });
  const client = await connectPaused(t, listener.port);
  client.socket.write(REQUEST);
  await readAfterRequests(client, listener);
  assertWhole(t, client);
  t.is(handledCount, 1);
});

test('a long last response may be read until its deadline', async t => {
  // Guards against a response that is cut after the time for short ones.
  const listener = await startListener(t, exchange => {
    respondLong(exchange, {connection: 'close'});
  });
  const client = await connectPaused(t, listener.port);
  client.socket.write(REQUEST);
  await sleep(SHORT_RESPONSE_LINGER_MILLIS + 400);
  await readAfterRequests(client, listener);
  assertWhole(t, client);
});

test('a listener that closes lets a slow reader get the whole response', async t => {
  // Guards against a response that the close of an idle connection cuts with a reset.
  const listener = await startListener(t, exchange => {
    respondLong(exchange, {});
  });
  const client = await connectPaused(t, listener.port);
  client.socket.write(REQUEST);
  await waitUntil(
    'handed to the system',
    () => listener.deliveringCount === 1 && listener.busyCount === 0,
  );
  t.true(listener.deliveringUntilMillis > performance.now());
  const closed = listener.close();
  // The listener first accepts the connections that wait in the system.
  await waitUntilRefused(listener.port);
  await readAfterRequests(client, listener);
  assertWhole(t, client);
  client.socket.end();
  await closed;
  await waitUntil('closed', () => listener.deliveringCount === 0);
});

test('a listener that closes does not wait for idle connections', async t => {
  // Guards against stops that last as long as clients keep their connections open.
  const listener = await startListener(t, ({response}) => {
    response.end('short');
  });
  const client = await connectPaused(t, listener.port);
  client.socket.write(REQUEST);
  client.socket.resume();
  await waitUntil('response', () => client.received.endsWith('short'));
  t.is(listener.deliveringCount, 0);
  await listener.close();
  t.is(client.errorCode, undefined);
});

for (const [title, bytes, statusCode] of [
  [
    'with a long body',
    `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10000000\r\n\r\n${'x'.repeat(10_000_000)}`,
    413,
  ],
  [
    'with a long header',
    `GET / HTTP/1.1\r\nhost: a\r\na: ${'x'.repeat(10_000_000)}\r\n\r\n`,
    431,
  ],
  ['that is not HTTP', `?\r\n\r\n${'x'.repeat(10_000_000)}`, 400],
] as const) {
  test(`a client that reads after it has sent a request ${title} gets the refusal`, async t => {
    // Guards against refusals that are lost in a reset of their connection.
    const listener = await startListener(t, exchange => {
      exchange.ignoreFurtherRequests();
      exchange.response.writeHead(413, {connection: 'close'});
      exchange.response.end();
    });
    const client = await connectPaused(t, listener.port);
    client.socket.end(bytes);
    await Promise.race([
      once(client.socket, 'finish'),
      once(client.socket, 'close'),
    ]);
    client.socket.resume();
    await waitUntil('end', () => client.hasEnded || client.socket.closed);
    t.is(client.errorCode, undefined);
    t.true(client.received.startsWith(`HTTP/1.1 ${String(statusCode)} `));
  });
}

for (const [title, timeoutMillis, maxDiscardedBytes] of [
  ['that keeps its side open', 50, 1_000_000],
  ['that sends without end', 100_000, 1000],
] as const) {
  test(`a lingering connection of a client ${title} is closed`, async t => {
    // Guards against connections that a client holds without limit.
    const server = net.createServer({allowHalfOpen: true}, socket => {
      socket.on('error', () => undefined);
      const acceptedMillis = performance.now();
      closeLingering(socket, {
        nowMillis: () => performance.now(),
        endMillis: () => acceptedMillis + timeoutMillis,
        maxDiscardedBytes,
      });
    });
    t.teardown(() => server.close());
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const client = await connectPaused(t, port);
    client.socket.resume();
    const writer = setInterval(() => client.socket.write('x'.repeat(400)), 10);
    await waitUntil('reset', () => client.socket.closed);
    clearInterval(writer);
    t.true(client.hasEnded);
    t.truthy(client.errorCode);
  });
}
