/**
 * HTTP/1.1 listener for operators; it reads and never changes anything.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import * as Effect from 'effect/Effect';

import type {ListenAddress} from '../process/settings.js';
import type {AdminAnswer, AdminSources} from './admin_routes.js';
import {adminError, answerAdminRequest} from './admin_routes.js';
import type {
  HttpExchange,
  HttpListener,
  MalformedKind,
} from './http_listener.js';
import {openHttpListener} from './http_listener.js';

/** What the listener shows and where. */
export interface AdminServerOptions extends AdminSources {
  readonly listen: ListenAddress;
  /** Longest time without progress while an answer is written. */
  readonly answerMillis?: number | undefined;
}

/** The administration listener of one node. */
export interface AdminServer {
  /** Binds the address; resolves with the port. */
  open(): Promise<number>;
  /** Ends all connections; has no effect when not open. */
  close(): Promise<void>;
}

const CONNECTIONS_COUNT = 16;
const HEADER_BYTES = 8192;
const IDLE_MILLIS = 10_000;
const ANSWER_MILLIS = 10_000;
const CLOSE_GRACE_MILLIS = 500;

const STATUS_LINES: Readonly<Record<MalformedKind, string>> = {
  malformed: '400 Bad Request',
  'headers-too-large': '431 Request Header Fields Too Large',
  timeout: '408 Request Timeout',
};

/** Creates the listener without binding it. */
export function createAdminServer(options: AdminServerOptions): AdminServer {
  let listener: HttpListener | undefined;
  return {
    open: async () => {
      listener = await openHttpListener({
        name: 'admin',
        listen: options.listen,
        connectionsCount: CONNECTIONS_COUNT,
        headerBytes: HEADER_BYTES,
        idleMillis: IDLE_MILLIS,
        metrics: options.metrics,
        handle: exchange => handle(options, exchange),
        describeMalformed: kind =>
          describeMalformed(kind, options.settings.hostName),
      });
      return listener.port;
    },
    close: async () => {
      await listener?.close(CLOSE_GRACE_MILLIS);
      listener = undefined;
    },
  };
}

function handle(
  options: AdminServerOptions,
  {request, response}: HttpExchange,
): Effect.Effect<void> {
  return Effect.sync(() => {
    // A reader that stops reading would hold its connection for ever, and a
    // few of them would lock all operators out; the socket is closed instead.
    response.setTimeout(options.answerMillis ?? ANSWER_MILLIS, () => {
      options.metrics.increment('admin.answers_cut');
      response.destroy();
    });
    const answer = hasBody(request)
      ? refuseBody(options.settings.hostName)
      : answerAdminRequest(
          options,
          request.method ?? '',
          pathOf(request.url ?? ''),
        );
    options.metrics.increment('admin.answers', {
      status: String(answer.statusCode),
    });
    write(response, answer);
  });
}

function write(response: ServerResponse, answer: AdminAnswer): void {
  response.writeHead(answer.statusCode, {
    ...answer.headers,
    'content-length': String(answer.body.byteLength),
    'cache-control': 'no-store',
  });
  response.end(answer.body);
}

function hasBody(request: IncomingMessage): boolean {
  const length = request.headers['content-length'] ?? '0';
  return length !== '0' || request.headers['transfer-encoding'] !== undefined;
}

/** Closing the connection saves reading a body that has no use. */
function refuseBody(peer: string): AdminAnswer {
  const message = 'This listener takes no request bodies.';
  const answer = adminError(400, {step: 'parse-request', peer, message});
  return {...answer, headers: {...answer.headers, connection: 'close'}};
}

function pathOf(url: string): string {
  const queryAt = url.indexOf('?');
  return queryAt === -1 ? url : url.slice(0, queryAt);
}

function describeMalformed(kind: MalformedKind, peer: string): string {
  const statusLine = STATUS_LINES[kind];
  const message = `The request is refused: ${kind}.`;
  const body = `${JSON.stringify({step: 'parse-request', peer, message})}\n`;
  return [
    `HTTP/1.1 ${statusLine}`,
    'content-type: application/json',
    `content-length: ${String(Buffer.byteLength(body))}`,
    'connection: close',
    '',
    body,
  ].join('\r\n');
}
