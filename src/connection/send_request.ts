/**
 * Sends one request on a pooled connection and reports what is certain about it
 * if there is no response.
 */
import http from 'node:http';
import type {Socket} from 'node:net';
import {describeError} from '../base/errors.js';
import {startIoTimeout} from '../base/io_timeout.js';
import type {Disposable} from '../base/lifecycle.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import type {RequestCancelSignal} from '../protocol/cancel_cause.js';
import {limitChunkOverhead} from './chunk_overhead.js';
import type {ConnectionEnd} from './connection_end.js';
import {onConnectionEnd} from './connection_end.js';
import {removeClosedConnections} from './keep_alive_agent.js';
import type {ReceivedResponse} from './received_response.js';
import {isUnframed, receiveResponse} from './received_response.js';
import type {ResponseHead} from './response_head.js';
import {isFinalResponseHead} from './response_head.js';

/** A request to send. */
export interface OutgoingRequest {
  readonly to: Endpoint;
  readonly agent: http.Agent;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly connectTimeoutMillis: number;
  readonly cancel: RequestCancelSignal;
  /** The connection, and with it a response without a length, has ended. */
  readonly onUnframedEnd?:
    ((connection: Socket, end: ConnectionEnd) => void) | undefined;
  /** Invalid bytes have arrived after a complete response. */
  readonly onExcessBytes?: ((connection: Socket) => void) | undefined;
}

/** How a request ended. */
export type SendResult =
  | {
      readonly kind: 'answer';
      readonly answer: ReceivedResponse;
      /** On which the response arrived. */
      readonly connection: Socket;
      /** Closes the connection instead of keeping it for the next request. */
      readonly discardConnection: () => void;
    }
  /** The server has sent a head that is not that of a final response. */
  | {readonly kind: 'invalid-head'; readonly head: ResponseHead}
  /** The server never received the complete request. */
  | {readonly kind: 'not-sent'; readonly reason: string}
  /** The server may have received it. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      /** The connection had served another request before. */
      readonly wasReused: boolean;
    };

/**
 * Maximum number of informational responses to one request. Upstreams send one
 * or two; each costs a pass of the parser, and the parser does not limit them.
 */
const MAX_INFORMATIONAL_COUNT = 20;

/** Sends a request; `onEnd` is called once. */
export function sendRequest(
  outgoing: OutgoingRequest,
  onEnd: (result: SendResult) => void,
): void {
  const {to, cancel} = outgoing;
  if (cancel.isCancelled) {
    onEnd({kind: 'not-sent', reason: 'cancelled'});
    return;
  }
  removeClosedConnections(outgoing.agent, to);
  const request = http.request({
    agent: outgoing.agent,
    host: to.address,
    port: to.port,
    method: outgoing.method,
    path: outgoing.target,
    headers: withFramingHeaders(
      outgoing,
    ) as unknown as http.OutgoingHttpHeaders,
    setHost: false,
  });
  let isSent = false;
  let isEnded = false;
  let informationalCount = 0;
  let connectTimeout: Disposable | undefined;
  let receivedMessage: http.IncomingMessage | undefined;

  const finish = (result: SendResult): void => {
    if (isEnded) return;
    isEnded = true;
    connectTimeout?.dispose();
    cancelListener.dispose();
    onEnd(result);
  };
  const fail = (reason: string): void => {
    if (isSent) {
      finish({kind: 'lost', reason, wasReused: request.reusedSocket});
    } else {
      finish({kind: 'not-sent', reason});
    }
    request.destroy();
  };
  const cancelListener = cancel.onCancel(() => {
    fail('cancelled');
  });

  request.on('socket', socket => {
    if (!socket.connecting) {
      isSent = true;
      return;
    }
    // A server behind a network partition does not respond to connection
    // attempts, and the timeout of the operating system is minutes.
    connectTimeout = startIoTimeout(outgoing.connectTimeoutMillis, () => {
      fail('connect-timeout');
    });
    socket.once('connect', () => {
      connectTimeout?.dispose();
      isSent = true;
    });
  });
  request.on('error', error => {
    if (receivedMessage?.complete === true) {
      // Invalid bytes after a complete response belong to no request.
      const isIntact = receivedMessage.errored === null;
      if (isIntact) outgoing.onExcessBytes?.(receivedMessage.socket);
      return;
    }
    // Without a length, a reset looks like a normal end of the body: the client
    // of Node.js emits the error first and then completes the message.
    // Destroying the message first reports it as aborted.
    if (receivedMessage?.complete === false) receivedMessage.destroy(error);
    fail(describeError(error));
  });
  request.on('information', () => {
    informationalCount += 1;
    if (informationalCount > MAX_INFORMATIONAL_COUNT) {
      fail('too many informational responses');
    }
  });
  // Without a listener, the client closes the connection and reports nothing.
  request.on('upgrade', (message, connection) => {
    finish({kind: 'invalid-head', head: toHead(message)});
    connection.destroy();
  });
  request.on('response', message => {
    receivedMessage = message;
    const connection = message.socket;
    const discardConnection = (): void => {
      request.destroy();
      connection.destroy();
    };
    const head = toHead(message);
    if (!isFinalResponseHead(head)) {
      finish({kind: 'invalid-head', head});
      discardConnection();
      return;
    }
    if (message.headers['transfer-encoding'] !== undefined) {
      limitChunkOverhead(message, () => {
        message.destroy(new Error('too many bytes between chunks'));
      });
    }
    if (isUnframed(message)) {
      const endListener = onConnectionEnd(connection, end => {
        outgoing.onUnframedEnd?.(connection, end);
        if (end === 'reset') message.destroy(new Error('connection reset'));
      });
      // A response without a body leaves its connection open.
      message.once('close', endListener.dispose);
    }
    receiveResponse(message).then(
      answer => {
        finish({kind: 'answer', answer, connection, discardConnection});
      },
      (error: unknown) => {
        fail(describeError(error));
      },
    );
  });
  // An empty chunk would be written as a separate part of the message.
  if (outgoing.body.length === 0) request.end();
  else request.end(outgoing.body);
}

function toHead({statusCode, rawHeaders}: http.IncomingMessage): ResponseHead {
  return {statusCode: statusCode ?? 0, headers: rawHeaders};
}

function withFramingHeaders(outgoing: OutgoingRequest): readonly string[] {
  const {headers, body, method} = outgoing;
  if (body.length === 0 && (method === 'GET' || method === 'HEAD')) {
    return headers;
  }
  return [...headers, 'content-length', String(body.length)];
}
