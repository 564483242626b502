/**
 * A connection of a client to an HTTP listener, and how it is closed.
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {RequestCancelSource} from '../protocol/cancel_cause.js';
import {closeLingering} from './lingering_close.js';

/** Connection of a client. */
export interface ClientConnection {
  readonly socket: Socket;
  /** Response to the request that was read last. */
  readonly newestResponse: ServerResponse | undefined;
  /** A response closes the connection; later requests are not handled. */
  readonly isEnding: boolean;
  /** The sending side is closed; what arrives is discarded. */
  readonly isLingering: boolean;
  /**
   * Until then the client may be reading a long response, of which the last
   * bytes were handed to the operating system; 0 if there is none.
   */
  readonly deliveringUntilMillis: number;
  /** Number of requests without a complete response. */
  openCount(): number;
  /** A request has been read. */
  begin(source: RequestCancelSource, response: ServerResponse): void;
  /**
   * Waits until the responses to all earlier requests have been sent; false if the
   * connection closes before, so that the client takes the request for unread.
   */
  awaitEarlierResponses(
    source: RequestCancelSource,
  ): boolean | Promise<boolean>;
  /** The response to this request closes the connection. */
  endAfter(source: RequestCancelSource): void;
  /**
   * Handles no later requests, and calls the listener once all responses have been sent;
   * not if the connection closes before.
   */
  endWhenAnswered(listener: () => void): void;
  /** The response has been handed to the operating system, or was aborted. */
  end(source: RequestCancelSource, deadlineMillis: number): void;
  /** A request has been read, and none is in progress or partly received. */
  isIdle(): boolean;
  /** Cancels all requests without a response. */
  cancelRequests(): void;
  /**
   * Closes an idle connection. If the client may be reading a long response, only
   * the sending side is closed.
   */
  closeIdle(): void;
  /** Closes the connection after a response that says so. */
  closeAfterResponse(): void;
}

/**
 * Plain fields: accessors in an object literal make each connection costly in
 * memory.
 */
interface MutableClientConnection extends ClientConnection {
  newestResponse: ServerResponse | undefined;
  isEnding: boolean;
  isLingering: boolean;
  deliveringUntilMillis: number;
}

/**
 * Size up to which a response leaves the system within a few round trips: it
 * fits into the usual receive buffer of a client.
 */
const PROMPTLY_DELIVERED_BYTES = 65_536;

/** Time for a client to read a short response and close its side. */
const LINGER_MILLIS = 5000;

/** Bytes of a rejected request that are discarded for its client to read the response. */
const MAX_DISCARDED_BYTES = 134_217_728;

/** Creates the state of an accepted connection. */
export function createClientConnection(
  socket: Socket,
  nowMillis: () => number,
): ClientConnection {
  /** Requests without a complete response, in the order in which they were read. */
  const sources = new Set<RequestCancelSource>();
  const waiting = new Map<RequestCancelSource, (isFirst: boolean) => void>();
  let closingSource: RequestCancelSource | undefined;
  let onAnswered = (): void => undefined;
  let readBytes = 0;
  let writtenBytes = 0;

  const first = (): RequestCancelSource | undefined => {
    for (const source of sources) return source;
    return undefined;
  };
  const cancelRequests = (): void => {
    for (const source of [...sources]) source.cancel('client-left');
  };
  const startNext = (): void => {
    const next = first();
    if (next !== undefined) waiting.get(next)?.(true);
  };
  const recordDelivery = (deadlineMillis: number): void => {
    const sentBytes = socket.bytesWritten - writtenBytes;
    writtenBytes += sentBytes;
    if (sentBytes <= PROMPTLY_DELIVERED_BYTES) return;
    connection.deliveringUntilMillis = Math.max(
      connection.deliveringUntilMillis,
      deadlineMillis,
    );
  };
  const linger = (): void => {
    if (connection.isLingering) return;
    connection.isLingering = true;
    connection.isEnding = true;
    const shortEndMillis = nowMillis() + LINGER_MILLIS;
    closeLingering(socket, {
      nowMillis,
      // Node.js closes the connection before the end of its last response is
      // recorded here.
      endMillis: () =>
        Math.max(shortEndMillis, connection.deliveringUntilMillis),
      maxDiscardedBytes: MAX_DISCARDED_BYTES,
    });
  };
  const connection: MutableClientConnection = {
    socket,
    newestResponse: undefined,
    isEnding: false,
    isLingering: false,
    deliveringUntilMillis: 0,
    openCount: () => sources.size,
    begin: (source, response) => {
      sources.add(source);
      connection.newestResponse = response;
    },
    awaitEarlierResponses: source => {
      if (first() === source) return true;
      return new Promise(resolve => {
        waiting.set(source, resolve);
        source.signal.onCancel(() => {
          resolve(false);
        });
      });
    },
    endWhenAnswered: listener => {
      connection.isEnding = true;
      onAnswered = listener;
    },
    endAfter: source => {
      connection.isEnding = true;
      closingSource = source;
    },
    end: (source, deadlineMillis) => {
      sources.delete(source);
      waiting.delete(source);
      readBytes = socket.bytesRead;
      recordDelivery(deadlineMillis);
      // An aborted response closes the connection as well.
      const hasClosed = source === closingSource || source.signal.isCancelled;
      if (hasClosed) cancelRequests();
      else if (sources.size === 0) onAnswered();
      else startNext();
    },
    isIdle: () =>
      connection.newestResponse !== undefined &&
      sources.size === 0 &&
      socket.bytesRead === readBytes,
    cancelRequests,
    closeIdle: () => {
      if (connection.deliveringUntilMillis > nowMillis()) linger();
      else if (!connection.isLingering) socket.destroy();
    },
    closeAfterResponse: linger,
  };
  // Called by Node.js after a response with `Connection: close`; its own version
  // closes both directions.
  socket.destroySoon = linger;
  return connection;
}
