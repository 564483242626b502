/**
 * A stand-in for an application's upstream on the platform.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** One request as the upstream received it. */
export interface ReceivedRequest {
  readonly attemptId: string;
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly socket: Socket;
  readonly response: ServerResponse;
  /** Answers like a sound upstream. */
  respond(statusCode: number, body: string): void;
}

/** What an upstream does with a request that it runs. */
export type UpstreamHandler = (request: ReceivedRequest) => void;

/** The stand-in. */
export interface FakeUpstream {
  readonly id: string;
  /** Ids of the attempts that its starts were handed, run or not, in order. */
  readonly arrivedIds: readonly string[];
  /** Ids of the attempts that its starts began to work on, in order. */
  readonly runIds: readonly string[];
  /** Most requests that it worked on at the same time. */
  readonly maxConcurrentCount: number;
  /** Connections that were closed while a request was at work. */
  readonly abortedCount: number;
  setHandler(behaviour: UpstreamHandler): void;
  /** Time after which it says that a request is meant for another one. */
  setMisdirectedDelayMillis(millis: number): void;
  /**
   * Ends as in a crash and starts again, under the same id if none is given;
   * what it held is lost, and its connections are reset.
   */
  restart(nextId?: string): Promise<void>;
  /**
   * Ends as in a crash whenever it begins to run one of these requests, and
   * starts again later under a new id.
   */
  crashOn(crash: CrashPlan): void;
  /** Crashes so far. */
  readonly crashesCount: number;
  close(): Promise<void>;
}

/** Which requests crash an upstream, and what follows. */
export interface CrashPlan {
  readonly isMatch: (request: ReceivedRequest) => boolean;
  /** Time for which it works on the request before it ends. */
  readonly afterMillis: number;
  /** Time until it starts again. */
  readonly downMillis: number;
  /** It has started again under a new id. */
  readonly onStarted: () => void;
}

/** What an upstream is made of. */
export interface FakeUpstreamOptions {
  readonly id: string;
  readonly address: string;
  readonly port: number;
}

/** Signature of every sound answer of one upstream. */
export function signatureOf(id: string, attemptId: string): string {
  return `sig.${id}.${attemptId}`;
}

/** Starts an upstream that answers every request with 200. */
export async function startFakeUpstream(
  options: FakeUpstreamOptions,
): Promise<FakeUpstream> {
  let {id} = options;
  const arrivedIds: string[] = [];
  const runIds: string[] = [];
  let atWorkCount = 0;
  let maxAtOnce = 0;
  let cutCount = 0;
  let denialMillis = 0;
  let crashesCount = 0;
  let crashPlan: CrashPlan | undefined;
  let isClosed = false;
  let behaviour: UpstreamHandler = request => {
    request.respond(200, `body of ${request.attemptId}`);
  };

  const run = (received: ReceivedRequest): void => {
    runIds.push(received.attemptId);
    atWorkCount += 1;
    maxAtOnce = Math.max(maxAtOnce, atWorkCount);
    received.response.once('close', () => {
      atWorkCount -= 1;
      if (!received.response.writableFinished) cutCount += 1;
    });
    if (crashPlan?.isMatch(received) === true) {
      void crash(crashPlan);
      return;
    }
    behaviour(received);
  };

  const crash = async (plan: CrashPlan): Promise<void> => {
    const crashedId = id;
    await sleep(plan.afterMillis);
    if (isClosed || id !== crashedId) return;
    crashesCount += 1;
    id = `${options.id}-after-${String(crashesCount)}`;
    await endAtOnce(server);
    await sleep(plan.downMillis);
    if (isClosed) return;
    server = await listen(handle, options);
    plan.onStarted();
  };

  const handle = (request: IncomingMessage, response: ServerResponse): void => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('error', () => undefined);
    request.on('end', () => {
      arrivedIds.push(String(request.headers['attempt-id']));
      const expected = request.headers['expect-instance'];
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, {'instance-id': id});
        setTimeout(() => response.end(), denialMillis);
        return;
      }
      run(receivedRequest(id, request, response, chunks));
    });
  };

  let server = await listen(handle, options);
  return {
    get id() {
      return id;
    },
    arrivedIds,
    runIds,
    get maxConcurrentCount() {
      return maxAtOnce;
    },
    get abortedCount() {
      return cutCount;
    },
    setHandler: next => {
      behaviour = next;
    },
    setMisdirectedDelayMillis: millis => {
      denialMillis = millis;
    },
    restart: async (nextId = id) => {
      await endAtOnce(server);
      id = nextId;
      server = await listen(handle, options);
    },
    crashOn: plan => {
      crashPlan = plan;
    },
    get crashesCount() {
      return crashesCount;
    },
    close: () => {
      isClosed = true;
      return endAtOnce(server);
    },
  };
}

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

function listen(
  handle: Handler,
  options: FakeUpstreamOptions,
): Promise<Server> {
  const server = createServer(handle);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.address, () => {
      resolve(server);
    });
  });
}

function endAtOnce(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}

function receivedRequest(
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
  };
}
