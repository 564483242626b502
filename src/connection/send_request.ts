/**
 * Sends one request on a pooled connection and reports what is proven about it
 * when no answer comes.
 */
import http from 'node:http';
import type {CancelSignal} from '../base/cancel_signal.js';
import {describeError} from '../base/errors.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import type {ReceivedResponse} from './received_response.js';
import {receiveResponse} from './received_response.js';

/** A request to send. */
export interface OutgoingRequest {
  readonly to: Endpoint;
  readonly agent: http.Agent;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly connectTimeoutMillis: number;
  readonly cancel: CancelSignal;
}

/** How a request ended. */
export type SendResult =
  | {
      readonly kind: 'answer';
      readonly answer: ReceivedResponse;
      /** Closes the connection instead of keeping it for the next request. */
      readonly discardConnection: () => void;
    }
  /** The other side never received the whole request. */
  | {readonly kind: 'not-sent'; readonly reason: string}
  /** The other side may have received it. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      /** The connection had served another request before. */
      readonly wasReused: boolean;
    };

/** Sends a request; `onEnd` is called once. */
export function sendRequest(
  outgoing: OutgoingRequest,
  onEnd: (end: SendResult) => void,
): void {
  const {to} = outgoing;
  const request = http.request({
    agent: outgoing.agent,
    host: to.address,
    port: to.port,
    method: outgoing.method,
    path: outgoing.target,
    headers: framedHeaders(outgoing) as unknown as http.OutgoingHttpHeaders,
    setHost: false,
  });
  let isSent = false;
  let isEnded = false;
  let timer: NodeJS.Timeout | undefined;
  let received: http.IncomingMessage | undefined;

  const end = (result: SendResult): void => {
    if (isEnded) return;
    isEnded = true;
    clearTimeout(timer);
    cancelled.dispose();
    onEnd(result);
  };
  const fail = (reason: string): void => {
    if (isSent) {
      end({kind: 'lost', reason, wasReused: request.reusedSocket});
    } else {
      end({kind: 'not-sent', reason});
    }
    request.destroy();
  };
  const cancelled = outgoing.cancel.onCancel(() => {
    fail('cancelled');
  });

  request.on('socket', socket => {
    if (!socket.connecting) {
      isSent = true;
      return;
    }
    // A peer behind a network partition answers no connection attempt, and
    // the system's own limit is minutes.
    timer = setTimeout(() => {
      fail('connect-timeout');
    }, outgoing.connectTimeoutMillis);
    socket.once('connect', () => {
      clearTimeout(timer);
      isSent = true;
    });
  });
  request.on('error', error => {
    // A reset ends what has no length like an end in good order: Node's client
    // emits the error first and then finishes the message. Destroyed before, it
    // is reported as broken off.
    if (received?.complete === false) received.destroy(error);
    fail(describeError(error));
  });
  request.on('response', message => {
    received = message;
    const discardConnection = (): void => {
      request.destroy();
      message.socket?.destroy();
    };
    receiveResponse(message).then(
      answer => {
        end({kind: 'answer', answer, discardConnection});
      },
      (error: unknown) => {
        fail(describeError(error));
      },
    );
  });
  request.end(outgoing.body);
}

function framedHeaders(outgoing: OutgoingRequest): readonly string[] {
  const {headers, body, method} = outgoing;
  if (body.length === 0 && (method === 'GET' || method === 'HEAD')) {
    return headers;
  }
  return [...headers, 'content-length', String(body.length)];
}
