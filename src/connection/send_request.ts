/**
 * Sends one request on a pooled connection and tells what is proven about it
 * when no answer comes.
 */
import http from 'node:http';
import type {CancelSignal} from '../base/cancel_signal.js';
import {describeError} from '../base/errors.js';
import type {Endpoint} from '../process/node_settings.js';
import type {ReceivedAnswer} from './received_answer.js';
import {receiveAnswer} from './received_answer.js';

/** A request to send. */
export interface OutgoingRequest {
  readonly to: Endpoint;
  readonly agent: http.Agent;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  /**
   * The body, and with it the end of the request, is sent only after the other
   * side has asked for it. Until then the request cannot have run.
   */
  readonly isBodyHeldBack: boolean;
  readonly connectTimeoutMillis: number;
  readonly cancel: CancelSignal;
  /** Something arrived from the other side. */
  readonly onHeard?: () => void;
  /** The whole request is on its way. */
  readonly onBodySent?: () => void;
}

/** How a request ended. */
export type SendEnd =
  | {
      readonly kind: 'answer';
      readonly answer: ReceivedAnswer;
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

/** Sends a request and waits for its answer. */
export function sendRequest(outgoing: OutgoingRequest): Promise<SendEnd> {
  return new Promise(resolve => {
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
    let isBodySent = false;
    let isEnded = false;
    let timer: NodeJS.Timeout | undefined;

    const end = (result: SendEnd): void => {
      if (isEnded) return;
      isEnded = true;
      clearTimeout(timer);
      cancelled.dispose();
      resolve(result);
    };
    const fail = (reason: string): void => {
      if (isBodySent) {
        end({kind: 'lost', reason, wasReused: request.reusedSocket});
      } else {
        end({kind: 'not-sent', reason});
      }
      request.destroy();
    };
    const noteBodySent = (): void => {
      isBodySent = true;
      outgoing.onBodySent?.();
    };
    const cancelled = outgoing.cancel.onCancel(() => {
      fail('cancelled');
    });

    request.on('socket', socket => {
      if (!socket.connecting) {
        if (!outgoing.isBodyHeldBack) noteBodySent();
        return;
      }
      // A peer behind a network partition answers no connection attempt, and
      // the system's own limit is minutes.
      timer = setTimeout(() => {
        fail('connect-timeout');
      }, outgoing.connectTimeoutMillis);
      socket.once('connect', () => {
        clearTimeout(timer);
        if (!outgoing.isBodyHeldBack) noteBodySent();
      });
    });
    request.on('continue', () => {
      if (isEnded) return;
      outgoing.onHeard?.();
      noteBodySent();
      request.end(outgoing.body);
    });
    request.on('error', error => {
      fail(describeError(error));
    });
    request.on('response', message => {
      outgoing.onHeard?.();
      const discardConnection = (): void => {
        request.destroy();
        message.socket?.destroy();
      };
      receiveAnswer(message).then(
        answer => {
          end({kind: 'answer', answer, discardConnection});
        },
        (error: unknown) => {
          fail(describeError(error));
        },
      );
    });
    if (outgoing.isBodyHeldBack) request.flushHeaders();
    else request.end(outgoing.body);
  });
}

function framedHeaders(outgoing: OutgoingRequest): readonly string[] {
  const {headers, body, method} = outgoing;
  if (outgoing.isBodyHeldBack) {
    return [
      ...headers,
      'expect',
      '100-continue',
      'transfer-encoding',
      'chunked',
    ];
  }
  if (body.length === 0 && (method === 'GET' || method === 'HEAD')) {
    return headers;
  }
  return [...headers, 'content-length', String(body.length)];
}
