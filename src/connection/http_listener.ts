/**
 * An HTTP/1.1 listener with one task for each connection.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import * as Queue from 'effect/Queue';
import {describeError, TransportError} from '../base/errors.js';
import {waitUntil} from '../base/wait_until.js';
import type {Metrics} from '../process/metrics.js';
import type {ListenAddress} from '../process/settings.js';

/** One request with the response that answers it. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** How a connection that sent something other than a valid request is told. */
export type MalformedKind = 'malformed' | 'headers-too-large' | 'timeout';

/** What a listener does with requests and within which bounds. */
export interface HttpListenerOptions {
  /** Name in counters and errors. */
  readonly name: string;
  readonly listen: ListenAddress;
  readonly connectionsCount: number;
  readonly headerBytes: number;
  readonly idleMillis: number;
  readonly metrics: Metrics;
  /** Answers one request; interrupted when the connection closes. */
  readonly handle: (exchange: HttpExchange) => Effect.Effect<void>;
  /** Produces the raw answer to input that is no valid request. */
  readonly describeMalformed: (kind: MalformedKind) => string;
}

/** A listener that was opened. */
export interface HttpListener {
  readonly port: number;
  /** Asks clients on open connections to go elsewhere after their answer. */
  startDraining(): void;
  /** Stops accepting, waits for answers in progress, closes the rest. */
  close(graceMillis: number): Promise<void>;
}

/** Pipelined requests that may wait on one connection. */
const PIPELINE_COUNT = 32;
const HEADERS_MILLIS = 10_000;
const REQUEST_MILLIS = 60_000;

/** Opens a listener; rejects when the address is not available. */
export async function openHttpListener(
  options: HttpListenerOptions,
): Promise<HttpListener> {
  const server = createServer({
    maxHeaderSize: options.headerBytes,
    keepAliveTimeout: options.idleMillis,
    headersTimeout: HEADERS_MILLIS,
    requestTimeout: REQUEST_MILLIS,
    noDelay: true,
  });
  const connections = createConnections(server, options);
  await listen(server, options);
  return {
    port: (server.address() as AddressInfo).port,
    startDraining: connections.startDraining,
    close: graceMillis => closeGracefully(server, connections, graceMillis),
  };
}

interface Connections {
  readonly busyCount: () => number;
  startDraining(): void;
  destroyAll(): void;
}

type ExchangeQueue = Queue.Queue<HttpExchange>;

function createConnections(
  server: Server,
  options: HttpListenerOptions,
): Connections {
  const queues = new Map<Socket, ExchangeQueue>();
  let busyCount = 0;
  let isDraining = false;

  const serve = (exchange: HttpExchange): Effect.Effect<void> =>
    Effect.suspend(() => {
      if (isDraining) exchange.response.setHeader('connection', 'close');
      return options.handle(exchange);
    }).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          busyCount -= 1;
        }),
      ),
    );

  server.on('connection', socket => {
    if (queues.size >= options.connectionsCount) {
      // Without this bound a flood of connections would take all memory; the
      // counter shows it, and the client sees a closed connection at once.
      options.metrics.increment('connection.refused', {listener: options.name});
      socket.destroy();
      return;
    }
    const queue = Effect.runSync(Queue.bounded<HttpExchange>(PIPELINE_COUNT));
    queues.set(socket, queue);
    const task = Effect.runFork(serveConnection(queue, serve));
    socket.on('close', () => {
      busyCount -= Queue.sizeUnsafe(queue);
      queues.delete(socket);
      Effect.runFork(Fiber.interrupt(task));
    });
  });
  server.on('request', (request, response) => {
    const queue = queues.get(request.socket);
    if (queue === undefined) return;
    if (Queue.offerUnsafe(queue, {request, response})) {
      busyCount += 1;
      return;
    }
    options.metrics.increment('connection.pipeline_full', {
      listener: options.name,
    });
    request.socket.destroy();
  });
  // The parser reports an error again for bytes that arrive after the first
  // one; a second answer on the connection would be noise.
  const answered = new WeakSet<Socket>();
  server.on('clientError', (error: NodeJS.ErrnoException, duplex) => {
    const socket = duplex as Socket;
    if (answered.has(socket)) return;
    answered.add(socket);
    answerMalformed(options, error, socket);
  });
  return {
    busyCount: () => busyCount,
    startDraining: () => {
      isDraining = true;
    },
    destroyAll: () => {
      for (const socket of queues.keys()) socket.destroy();
    },
  };
}

function serveConnection(
  queue: ExchangeQueue,
  serve: (exchange: HttpExchange) => Effect.Effect<void>,
): Effect.Effect<never> {
  return Queue.take(queue).pipe(Effect.flatMap(serve), Effect.forever);
}

function answerMalformed(
  options: HttpListenerOptions,
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  const kind = malformedKind(error.code);
  options.metrics.increment('connection.malformed', {
    listener: options.name,
    kind,
  });
  if (socket.writable && error.code !== 'ECONNRESET') {
    socket.end(options.describeMalformed(kind));
  } else {
    socket.destroy();
  }
}

function malformedKind(code: string | undefined): MalformedKind {
  if (code === 'HPE_HEADER_OVERFLOW') return 'headers-too-large';
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return 'timeout';
  return 'malformed';
}

async function listen(
  server: Server,
  options: HttpListenerOptions,
): Promise<void> {
  const {address, port} = options.listen;
  await new Promise<void>((resolve, reject) => {
    server.once('error', error => {
      const message = `Listener '${options.name}' cannot bind ${address}:${String(port)}: ${describeError(error)}`;
      const props = {step: 'listen', peer: `${address}:${String(port)}`};
      reject(new TransportError(message, {props}));
    });
    server.listen(port, address, resolve);
  });
}

async function closeGracefully(
  server: Server,
  connections: Connections,
  graceMillis: number,
): Promise<void> {
  connections.startDraining();
  const closed = new Promise<void>(resolve => {
    server.close(() => {
      resolve();
    });
  });
  await waitUntil(() => connections.busyCount() === 0, graceMillis);
  server.closeIdleConnections();
  connections.destroyAll();
  await closed;
}
