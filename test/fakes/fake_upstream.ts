/**
 * Fake of an application's upstream on the platform.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {listenWithFullQueue} from './full_accept_queue.js';

export interface ReceivedRequest {
  readonly attemptId: string;
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly socket: Socket;
  readonly response: ServerResponse;
  /** Responds with the headers and signature that nodes expect. */
  respond(statusCode: number, body: string): void;
  /** Responds that the request was not run. */
  reject(): void;
}

/** Handles a request that the upstream runs. */
export type UpstreamHandler = (request: ReceivedRequest) => void;

/** A request that reached an upstream, run or not. */
export interface Arrival {
  readonly attemptId: string;
  readonly atMillis: number;
}

/** What an upstream states about itself in all its responses. */
export interface Announcements {
  /** Values of the header with the limit of requests per second. */
  readonly limits?: readonly string[];
  readonly isLeaving?: boolean;
}

/** How an upstream treats new connections; those that it has accepted stay open. */
export type ConnectionPolicy =
  | 'accept'
  /** The listener is closed. */
  | 'refuse'
  /** Connections wait in a short queue, and are reset with the next policy. */
  | 'leave-in-queue'
  /** Resets connections after it has accepted them, as beyond a connection limit. */
  | 'reset';

type AnnouncedHeader = readonly [string, string | string[]];

export interface FakeUpstream {
  readonly id: string;
  /** All requests received since the first start, in order. */
  readonly arrivals: readonly Arrival[];
  /** Ids of all attempts received since the first start, run or not, in order. */
  readonly arrivedIds: readonly string[];
  /** Ids of all attempts run since the first start, in order. */
  readonly runIds: readonly string[];
  /** Maximum number of requests in flight at the same time. */
  readonly maxConcurrentCount: number;
  /** Number of requests whose response was closed before it was complete. */
  readonly abortedCount: number;
  setHandler(handler: UpstreamHandler): void;
  /** Adds these announcements to all further responses, in place of earlier ones. */
  announce(announcements: Announcements): void;
  /** Sets the delay of 421 responses to requests that expect another instance. */
  setMisdirectedDelayMillis(millis: number): void;
  /** Applies until the next call or restart. */
  setConnectionPolicy(policy: ConnectionPolicy): Promise<void>;
  /**
   * Closes all connections as in a crash and starts again, with the same id if none is
   * given. Requests in flight are lost.
   */
  restart(nextId?: string): Promise<void>;
  /**
   * Crashes whenever it starts to run a matching request, and starts again later with a
   * new id.
   */
  crashOn(crash: CrashPlan): void;
  /** Number of crashes so far. */
  readonly crashesCount: number;
  close(): Promise<void>;
}

/** Which requests crash an upstream, and the timing of the restart. */
export interface CrashPlan {
  readonly isMatch: (request: ReceivedRequest) => boolean;
  /** Time from the start of the request to the crash. */
  readonly afterMillis: number;
  /** Time from the crash to the restart. */
  readonly downMillis: number;
  /** Called when the upstream is listening again with a new id. */
  readonly onStarted: () => void;
}

export interface FakeUpstreamOptions {
  readonly id: string;
  readonly address: string;
  readonly port: number;
}

/** Returns the signature that a valid response of an upstream carries. */
export function signatureOf(id: string, attemptId: string): string {
  return `sig.${id}.${attemptId}`;
}

/** Starts an upstream that responds to every request with 200. */
export async function startFakeUpstream(
  options: FakeUpstreamOptions,
): Promise<FakeUpstream> {
  let {id} = options;
  const arrivals: Arrival[] = [];
  const runIds: string[] = [];
  let inFlightCount = 0;
  let maxConcurrentCount = 0;
  let abortedCount = 0;
  let misdirectedDelayMillis = 0;
  let crashesCount = 0;
  let crashPlan: CrashPlan | undefined;
  let isClosed = false;
  let connectionPolicy: ConnectionPolicy = 'accept';
  let closeQueue: () => Promise<unknown> = () => Promise.resolve();
  let announcedHeaders: readonly AnnouncedHeader[] = [];
  let handler: UpstreamHandler = request => {
    request.respond(200, `body of ${request.attemptId}`);
  };

  const run = (request: ReceivedRequest): void => {
    runIds.push(request.attemptId);
    inFlightCount += 1;
    maxConcurrentCount = Math.max(maxConcurrentCount, inFlightCount);
    request.response.once('close', () => {
      inFlightCount -= 1;
      if (!request.response.writableFinished) abortedCount += 1;
    });
    if (crashPlan?.isMatch(request) === true) {
      void crash(crashPlan);
      return;
    }
    handler(request);
  };

  const crash = async (plan: CrashPlan): Promise<void> => {
    const crashedId = id;
    await sleep(plan.afterMillis);
    if (isClosed || id !== crashedId) return;
    crashesCount += 1;
    id = `${options.id}-after-${String(crashesCount)}`;
    await closeServer(server);
    await sleep(plan.downMillis);
    if (isClosed) return;
    server = await startServer();
    plan.onStarted();
  };

  const handle = (request: IncomingMessage, response: ServerResponse): void => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('error', () => undefined);
    request.on('end', () => {
      arrivals.push({
        attemptId: String(request.headers['attempt-id']),
        atMillis: performance.now(),
      });
      for (const [name, value] of announcedHeaders) {
        response.setHeader(name, value);
      }
      const expected = request.headers['expect-instance'];
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, {
          'instance-id': id,
          'attempt-id': String(request.headers['attempt-id']),
        });
        setTimeout(() => response.end(), misdirectedDelayMillis);
        return;
      }
      run(createReceivedRequest(id, request, response, chunks));
    });
  };

  const startServer = (): Promise<Server> => {
    connectionPolicy = 'accept';
    const next = createServer(handle);
    next.prependListener('connection', (socket: Socket) => {
      if (connectionPolicy === 'reset') socket.resetAndDestroy();
    });
    return listen(next, options);
  };

  let server = await startServer();
  return {
    get id() {
      return id;
    },
    arrivals,
    get arrivedIds() {
      return arrivals.map(({attemptId}) => attemptId);
    },
    runIds,
    get maxConcurrentCount() {
      return maxConcurrentCount;
    },
    get abortedCount() {
      return abortedCount;
    },
    setHandler: next => {
      handler = next;
    },
    announce: ({limits, isLeaving}) => {
      const headers: AnnouncedHeader[] = [];
      if (limits !== undefined) headers.push(['server-limit', [...limits]]);
      if (isLeaving === true) headers.push(['server-leaving', '1']);
      announcedHeaders = headers;
    },
    setMisdirectedDelayMillis: millis => {
      misdirectedDelayMillis = millis;
    },
    setConnectionPolicy: async policy => {
      connectionPolicy = policy;
      await closeQueue();
      const isListening = policy === 'accept' || policy === 'reset';
      if (isListening && !server.listening) await listen(server, options);
      // `close` of an HTTP server would close the idle connections as well.
      if (!isListening) net.Server.prototype.close.call(server);
      if (policy !== 'leave-in-queue') return;
      closeQueue = await listenWithFullQueue(options);
    },
    restart: async (nextId = id) => {
      await closeServer(server);
      id = nextId;
      server = await startServer();
    },
    crashOn: plan => {
      crashPlan = plan;
    },
    get crashesCount() {
      return crashesCount;
    },
    close: async () => {
      isClosed = true;
      await closeQueue();
      await closeServer(server);
    },
  };
}

function listen(server: Server, options: FakeUpstreamOptions): Promise<Server> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.address, () => {
      resolve(server);
    });
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}

function createReceivedRequest(
  id: string,
  request: IncomingMessage,
  response: ServerResponse,
  chunks: readonly Buffer[],
): ReceivedRequest {
  const attemptId = String(request.headers['attempt-id']);
  return {
    attemptId,
    method: request.method ?? '',
    target: request.url ?? '',
    headers: request.headers,
    body: Buffer.concat(chunks).toString('utf8'),
    socket: request.socket,
    response,
    respond: (statusCode, body) => {
      response.writeHead(statusCode, {
        'attempt-id': attemptId,
        'response-signature': signatureOf(id, attemptId),
      });
      response.end(body);
    },
    reject: () => {
      response.writeHead(503, {'attempt-id': attemptId, 'not-executed': '1'});
      response.end();
    },
  };
}
