/**
 * A listener that cancels each request when its client has left.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {Socket} from 'node:net';
import type {CancelSignal, CancelSource} from '../base/cancel_signal.js';
import {createCancelSource} from '../base/cancel_signal.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import {bindListener, acceptPendingConnections} from './bind_listener.js';

/** One request with the response that answers it. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Cancelled when the connection closes before the answer has ended. */
  readonly cancel: CancelSignal;
  /** The sender holds the body back until it is asked for. */
  readonly expectsContinue: boolean;
  /** Nothing behind it has been read on its connection, whose end loses nothing. */
  isNewestOnConnection(): boolean;
  /** Its answer ends the connection: what comes behind it is not handled. */
  ignoreFurtherRequests(): void;
}

/** One connection of a client. */
interface ClientConnection {
  /** Requests without an answer. */
  readonly sources: Set<CancelSource>;
  /** Answer to the request that was read last. */
  newest: ServerResponse | undefined;
  isEnding: boolean;
}

/** What a listener is made of. */
export interface HttpListenerOptions {
  readonly endpoint: Endpoint;
  /** Answers one request; must not reject. */
  readonly handle: (exchange: HttpExchange) => Promise<void>;
}

/** An open listener. */
export interface HttpListener {
  readonly port: number;
  /** Requests that were read and not yet answered. */
  readonly busyCount: number;
  /** How long idle connections stay open, and how slow headers may be. */
  setTimeouts(idleMillis: number, headerMillis: number): void;
  /** Accepts nothing more; resolves when the last connection has ended. */
  close(): Promise<void>;
  /** The process ends: resets each connection with an answer under way. */
  resetUnfinished(): void;
}

/**
 * Idle time of connections until operators' limits are known, and for
 * connections between nodes, whose clients close them far sooner.
 */
const IDLE_MILLIS = 30_000;
const HEADER_MILLIS = 10_000;

/** Bound on the header of one message; the parser needs one from the start. */
const HEADER_BYTES = 65_536;

/** Opens a listener; rejects if the address cannot be bound. */
export async function openHttpListener(
  options: HttpListenerOptions,
): Promise<HttpListener> {
  const server = createServer({
    keepAliveTimeout: IDLE_MILLIS,
    headersTimeout: HEADER_MILLIS,
    requestTimeout: 0,
    maxHeaderSize: HEADER_BYTES,
    noDelay: true,
  });
  const connections = new Map<Socket, ClientConnection>();
  let busyCount = 0;

  const connectionOf = (socket: Socket): ClientConnection => {
    const known = connections.get(socket);
    if (known !== undefined) return known;
    const sources = new Set<CancelSource>();
    const created = {sources, newest: undefined, isEnding: false};
    connections.set(socket, created);
    socket.once('close', () => {
      connections.delete(socket);
      for (const source of sources) source.cancel();
    });
    return created;
  };

  const accept = (
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): void => {
    const connection = connectionOf(request.socket);
    if (connection.isEnding) {
      // No answer can follow the one that ends the connection, so that the
      // client sends this request again; passed on, it would run for nothing.
      request.resume();
      return;
    }
    const {sources} = connection;
    const source = createCancelSource();
    sources.add(source);
    connection.newest = response;
    busyCount += 1;
    let isOpen = true;
    const finish = (): void => {
      if (!isOpen) return;
      isOpen = false;
      busyCount -= 1;
      sources.delete(source);
    };
    response.once('finish', finish);
    response.once('close', () => {
      // Comes before the close of the socket, and without 'finish' if the
      // client has left: its work would otherwise go on to the deadline.
      if (!response.writableFinished) source.cancel();
      finish();
    });
    source.signal.onCancel(finish);
    response.sendDate = false;
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    void options.handle({
      request,
      response,
      cancel: source.signal,
      expectsContinue,
      isNewestOnConnection: () => connection.newest === response,
      ignoreFurtherRequests: () => {
        connection.isEnding = true;
      },
    });
  };

  server.on('request', (request, response) => {
    accept(request, response, false);
  });
  server.on('checkContinue', (request, response) => {
    accept(request, response, true);
  });
  const port = await bindListener(server, options.endpoint);
  return {
    port,
    get busyCount() {
      return busyCount;
    },
    setTimeouts: (idleMillis, headerMillis) => {
      server.keepAliveTimeout = idleMillis;
      server.headersTimeout = headerMillis;
    },
    close: async () => {
      await acceptPendingConnections();
      await new Promise<void>(resolve => {
        server.close(() => {
          resolve();
        });
        server.closeIdleConnections();
      });
    },
    // Closed by the end of the process, a connection would end in good order, and
    // part of an answer without a length would look whole to its client.
    resetUnfinished: () => {
      for (const [socket, {newest}] of connections) {
        if (newest?.writableFinished === false) socket.resetAndDestroy();
      }
    },
  };
}
