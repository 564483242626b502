/**
 * HTTP listener that cancels a request when its client disconnects.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {Socket} from 'node:net';
import type {CancelSignal, CancelSource} from '../base/cancel_signal.js';
import {createCancelSource} from '../base/cancel_signal.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import {bindListener, acceptPendingConnections} from './bind_listener.js';

/** One request and its response. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Cancelled when the connection closes before the response has been sent. */
  readonly cancel: CancelSignal;
  /** The client sent `Expect: 100-continue` and withholds the body. */
  readonly expectsContinue: boolean;
  /**
   * No later request has been read on the connection, so closing it loses none.
   */
  isNewestOnConnection(): boolean;
  /**
   * The response closes the connection: later requests on it are not handled.
   */
  ignoreFurtherRequests(): void;
}

/** Connection of a client. */
interface ClientConnection {
  /** Cancel sources of requests without a response. */
  readonly sources: Set<CancelSource>;
  /** Response to the request that was read last. */
  newestResponse: ServerResponse | undefined;
  isEnding: boolean;
}

export interface HttpListenerOptions {
  readonly endpoint: Endpoint;
  /** Handles one request; must not reject. */
  readonly handle: (exchange: HttpExchange) => Promise<void>;
}

/** An open listener. */
export interface HttpListener {
  readonly port: number;
  /** Requests that were read and have no response yet. */
  readonly busyCount: number;
  /** Sets the keep-alive timeout and the timeout for receiving headers. */
  setTimeouts(idleMillis: number, headerMillis: number): void;
  /** Stops accepting connections; resolves when the last one has closed. */
  close(): Promise<void>;
  /**
   * Resets all connections with an unfinished response; called on process exit.
   */
  resetUnfinished(): void;
}

/**
 * Keep-alive timeout until the configured limits are known, and for connections
 * between nodes, whose clients close them far sooner.
 */
const DEFAULT_IDLE_MILLIS = 30_000;
const DEFAULT_HEADER_MILLIS = 10_000;

/** Maximum header size of one message; the parser requires it at creation. */
const MAX_HEADER_BYTES = 65_536;

/** Opens a listener; rejects if the address cannot be bound. */
export async function openHttpListener(
  options: HttpListenerOptions,
): Promise<HttpListener> {
  const server = createServer({
    keepAliveTimeout: DEFAULT_IDLE_MILLIS,
    headersTimeout: DEFAULT_HEADER_MILLIS,
    requestTimeout: 0,
    maxHeaderSize: MAX_HEADER_BYTES,
    noDelay: true,
  });
  const connections = new Map<Socket, ClientConnection>();
  let busyCount = 0;

  const getConnection = (socket: Socket): ClientConnection => {
    const existing = connections.get(socket);
    if (existing !== undefined) return existing;
    const sources = new Set<CancelSource>();
    const created = {sources, newestResponse: undefined, isEnding: false};
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
    const connection = getConnection(request.socket);
    if (connection.isEnding) {
      // No response can follow the one that closes the connection, so the
      // client sends this request again; handling it here would waste the work.
      request.resume();
      return;
    }
    const {sources} = connection;
    const source = createCancelSource();
    sources.add(source);
    connection.newestResponse = response;
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
      // Emitted before the socket closes, and without `finish` if the client
      // disconnected; the work would otherwise continue until the deadline.
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
      isNewestOnConnection: () => connection.newestResponse === response,
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
    // When the process exits, the system closes connections normally, and a
    // partial response without a length would look complete to its client.
    resetUnfinished: () => {
      for (const [socket, {newestResponse}] of connections) {
        if (newestResponse?.writableFinished === false) {
          socket.resetAndDestroy();
        }
      }
    },
  };
}
