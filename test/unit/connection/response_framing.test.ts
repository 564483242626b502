import {once} from 'node:events';
import net from 'node:net';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {HttpExchange} from '../../../src/connection/http_listener.js';
import {openHttpListener} from '../../../src/connection/http_listener.js';
import type {ReceivedResponse} from '../../../src/connection/received_response.js';
import {sendResponse} from '../../../src/connection/response_sender.js';
import {waitUntil} from '../../fakes/wait_until.js';

const LAST_CHUNK = '0\r\n\r\n';

const UNFRAMED: ReceivedResponse = {
  statusCode: 200,
  headers: [],
  bodyStart: Buffer.from('start'),
  bodyRest: undefined,
  isUnframed: true,
};

interface Client {
  readonly socket: Socket;
  readonly received: string;
  readonly errorCode: string | undefined;
}

/** Opens a listener and a connection to it, and sends request heads on it. */
async function connectClient(
  t: ExecutionContext,
  handle: (exchange: HttpExchange) => void,
  requestHeads: readonly string[],
): Promise<Client> {
  const listener = await openHttpListener({
    endpoint: {address: '127.0.0.1', port: 0},
    nowMillis: () => performance.now(),
    handle: exchange => {
      handle(exchange);
      return Promise.resolve();
    },
  });
  const socket = net.connect(listener.port, '127.0.0.1');
  t.teardown(() => {
    socket.destroy();
    return listener.close();
  });
  const client = {
    socket,
    received: '',
    errorCode: undefined as string | undefined,
  };
  socket.on('data', chunk => (client.received += chunk.toString('latin1')));
  socket.on('error', (error: NodeJS.ErrnoException) => {
    client.errorCode = error.code;
  });
  await once(socket, 'connect');
  for (const head of requestHeads) socket.write(`${head}\r\nhost: a\r\n\r\n`);
  return client;
}

function respond(exchange: HttpExchange, received: ReceivedResponse): void {
  const method = exchange.request.method ?? 'GET';
  sendResponse(exchange.response, received, [], {method, onCut: noop});
}

const noop = (): void => undefined;

test('a response without a length that ends with its process does not look complete', async t => {
  // Guards against cut downloads that look whole after a kill of the node.
  const bodyRest = new Readable({read: () => undefined});
  const client = await connectClient(
    t,
    exchange => {
      respond(exchange, {...UNFRAMED, bodyRest});
      // As the system closes the connections of a killed process.
      setImmediate(() => exchange.request.socket.destroy());
    },
    ['GET / HTTP/1.1'],
  );
  await waitUntil('closed', () => client.socket.closed);
  t.regex(client.received, /transfer-encoding: chunked/i);
  t.regex(client.received, /start/);
  t.false(client.received.endsWith(LAST_CHUNK));
});

test('requests behind a long response without a length get their responses', async t => {
  // Guards against requests that are passed on and then lost with their connection.
  const bodyRest = Readable.from([Buffer.from('rest')]);
  const client = await connectClient(
    t,
    exchange => {
      const isFirst = exchange.request.url === '/1';
      respond(
        exchange,
        isFirst ? {...UNFRAMED, bodyRest} : {...UNFRAMED, isUnframed: false},
      );
    },
    ['GET /1 HTTP/1.1', 'GET /2 HTTP/1.1'],
  );
  await waitUntil(
    'both responses',
    () => client.received.match(/HTTP\/1\.1 200 /g)?.length === 2,
  );
  t.regex(client.received, /rest\r\n0\r\n\r\nHTTP/);
});

test('a complete response without a length is not presented as complete', async t => {
  // Guards against a body that a crash of the upstream cut short and that looks whole.
  const client = await connectClient(
    t,
    exchange => {
      respond(exchange, UNFRAMED);
    },
    ['GET / HTTP/1.1'],
  );
  await waitUntil('closed', () => client.socket.closed);
  t.notRegex(client.received, /transfer-encoding|content-length/i);
  t.regex(client.received, /connection: close/i);
  t.true(client.received.endsWith('\r\n\r\nstart'));
  t.is(client.errorCode, undefined);
});

for (const [title, isUnframed] of [
  ['without a length', true],
  ['in chunks', false],
] as const) {
  test(`an aborted response ${title} is reset for a client that knows no chunks`, async t => {
    // Guards against a cut body that looks complete to a client of HTTP/1.0.
    const bodyRest = new Readable({read: () => undefined});
    const client = await connectClient(
      t,
      exchange => {
        respond(exchange, {...UNFRAMED, isUnframed, bodyRest});
      },
      ['GET / HTTP/1.0'],
    );
    await waitUntil('begun', () => client.received.endsWith('start'));
    bodyRest.destroy(new Error('aborted'));
    await waitUntil('closed', () => client.socket.closed);
    t.is(client.errorCode, 'ECONNRESET');
    t.notRegex(client.received, /transfer-encoding/i);
    t.regex(client.received, /connection: close/i);
  });
}

for (const [title, head, statusCode] of [
  ['to HEAD', 'HEAD / HTTP/1.1', 200],
  ['with status 204', 'GET / HTTP/1.1', 204],
  ['with status 304', 'GET / HTTP/1.1', 304],
] as const) {
  test(`a response ${title} has no body and leaves the connection open`, async t => {
    // Guards against chunks that a client reads as its next response.
    const client = await connectClient(
      t,
      exchange => {
        const bodyStart = Buffer.alloc(0);
        respond(exchange, {...UNFRAMED, statusCode, bodyStart});
      },
      [head, head],
    );
    await waitUntil(
      'both responses',
      () => client.received.split('\r\n\r\n').length === 3,
    );
    t.notRegex(client.received, /transfer-encoding/i);
    t.true(client.received.endsWith('\r\n\r\n'));
  });
}
