/**
 * HTTP listener that cancels a request when its client disconnects.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Server} from 'node:http';
import type {Socket} from 'node:net';
import {createCancelSource} from '../base/cancel_signal.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import type {
  CancelCause,
  RequestCancelSignal,
} from '../protocol/cancel_cause.js';
import {bindListener, acceptPendingConnections} from './bind_listener.js';
import type {ClientConnection} from './client_connection.js';
import {createClientConnection} from './client_connection.js';
import {respondToClientError} from './client_error_response.js';

/** One request and its response. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Cancelled when the connection closes before the response has been sent. */
  readonly cancel: RequestCancelSignal;
  /** Requests before it on the connection that had no complete response when it was read. */
  readonly precedingCount: number;
  /** The client sent `Expect: 100-continue` and withholds the body. */
  readonly expectsContinue: boolean;
  /** When the header had been read. */
  readonly receivedMillis: number;
  /**
   * Waits until the responses to all earlier requests on the connection have been sent.
   * False if one of them closed it, or the client did: no response can be sent, and the
   * client may send the request again.
   */
  awaitEarlierResponses(): boolean | Promise<boolean>;
  /**
   * No later request has been read on the connection, so closing it loses none.
   */
  isNewestOnConnection(): boolean;
  /**
   * The response closes the connection: later requests on it are not handled.
   */
  ignoreFurtherRequests(): void;
  /**
   * Sets the time until which the client waits for the response. A connection
   * that is closed after a long response stays readable until then.
   */
  setDeadline(deadlineMillis: number): void;
}

export interface HttpListenerOptions {
  readonly endpoint: Endpoint;
  /** Handles one request; must not reject. */
  readonly handle: (exchange: HttpExchange) => Promise<void>;
  readonly nowMillis: () => number;
}

/** An open listener. */
export interface HttpListener {
  readonly port: number;
  /** Requests that were read and have no response yet. */
  readonly busyCount: number;
  /** Open connections whose clients may still be reading a long response. */
  readonly deliveringCount: number;
  /**
   * When the last of these clients stops waiting for its response; in the past if
   * there is none.
   */
  readonly deliveringUntilMillis: number;
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
  const connections = new Map<Socket, ClientConnection>();
  const server = new (class extends Server {
    /** Called by Node.js when the server closes. */
    override closeIdleConnections(): void {
      for (const connection of connections.values()) {
        if (connection.isIdle()) connection.closeIdle();
      }
    }
  })({
    keepAliveTimeout: DEFAULT_IDLE_MILLIS,
    headersTimeout: DEFAULT_HEADER_MILLIS,
    requestTimeout: 0,
    maxHeaderSize: MAX_HEADER_BYTES,
    noDelay: true,
  });
  let busyCount = 0;

  const accept = (
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): void => {
    const connection = connections.get(request.socket);
    if (connection === undefined || connection.isEnding) {
      // No response can follow the one that closes the connection, so the
      // client sends this request again; handling it here would waste the work.
      request.resume();
      return;
    }
    const source = createCancelSource<CancelCause>();
    const precedingCount = connection.openCount();
    connection.begin(source, response);
    busyCount += 1;
    let deadlineMillis = 0;
    let isOpen = true;
    const finish = (): void => {
      if (!isOpen) return;
      isOpen = false;
      busyCount -= 1;
      connection.end(source, deadlineMillis);
    };
    response.once('finish', finish);
    response.once('close', () => {
      // Emitted before the socket closes, and without `finish` if the client
      // disconnected; the work would otherwise continue until the deadline.
      if (!response.writableFinished) source.cancel('client-left');
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
      precedingCount,
      expectsContinue,
      receivedMillis: options.nowMillis(),
      isNewestOnConnection: () => connection.newestResponse === response,
      awaitEarlierResponses: () => connection.awaitEarlierResponses(source),
      ignoreFurtherRequests: () => {
        connection.endAfter(source);
      },
      setDeadline: millis => {
        deadlineMillis = millis;
      },
    });
  };

  server.on('connection', (socket: Socket) => {
    const connection = createClientConnection(socket, options.nowMillis);
    connections.set(socket, connection);
    socket.once('close', () => {
      connections.delete(socket);
      connection.cancelRequests();
    });
  });
  // Emitted for connections that were idle for the keep-alive timeout.
  server.on('timeout', socket => {
    connections.get(socket)?.closeIdle();
  });
  server.on('clientError', (error, socket) => {
    const connection = connections.get(socket as Socket);
    if (connection === undefined) socket.destroy(error);
    else respondToClientError(connection, error);
  });
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
    get deliveringCount() {
      const now = options.nowMillis();
      return [...connections.values()].filter(
        ({deliveringUntilMillis}) => deliveringUntilMillis > now,
      ).length;
    },
    get deliveringUntilMillis() {
      let latestMillis = 0;
      for (const {deliveringUntilMillis} of connections.values()) {
        latestMillis = Math.max(latestMillis, deliveringUntilMillis);
      }
      return latestMillis;
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
