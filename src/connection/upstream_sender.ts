/**
 * Sends requests to the upstream of this host and reports what came of each.
 */
import type {CancelSignal} from '../base/cancel_signal.js';
import type {Disposable} from '../base/lifecycle.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import {
  createKeepAliveAgent,
  closeIdleConnections,
} from './keep_alive_agent.js';
import type {RawHeaders} from './raw_headers.js';
import type {ReceivedResponse} from './received_response.js';
import {findHeader} from './received_response.js';
import type {SendResult} from './send_request.js';
import {sendRequest} from './send_request.js';

/** A request for the upstream. */
export interface UpstreamRequest {
  readonly attemptId: string;
  readonly upstreamId: string;
  readonly callerService: string;
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly timeoutMillis: number;
  readonly cancel: CancelSignal;
}

/** What came of it. */
export type UpstreamResult =
  | {readonly kind: 'answered'; readonly answer: ReceivedResponse}
  /** Not run, and it will not be. */
  | {
      readonly kind: 'not-run';
      readonly reason: HopReason;
      /** Id that the upstream says is its own, if it is another one. */
      readonly actualId?: string | undefined;
    }
  /** It may have run. */
  | {
      readonly kind: 'unknown';
      readonly reason: HopReason;
      readonly wasReused: boolean;
    };

/** Sends requests to one upstream. */
export interface UpstreamSender extends Disposable {
  /** Sends a request; `onEnd` is called once. */
  send(request: UpstreamRequest, onEnd: (end: UpstreamResult) => void): void;
  /**
   * Closes idle connections, which lead to a start of the upstream that is gone.
   * If they fell silent, an order written on one would end without an answer,
   * and it would be unknown whether it ran.
   */
  closeIdleConnections(): void;
}

/**
 * Bound on opening a connection within one host, where it takes about a
 * millisecond: beyond it the upstream is dead or cannot accept.
 */
const CONNECT_TIMEOUT_MILLIS = 300;

/** Idle connections are closed before an upstream that announces no limit. */
const MAX_IDLE_MILLIS = 4000;

/** Connections to the upstream; its slots are the tighter bound. */
const MAX_SOCKETS_COUNT = 1024;

const STATUS_MISDIRECTED = 421;

/** Creates a sender with an empty pool. */
export function createUpstreamSender(
  upstream: Endpoint,
  names: WireHeaders,
): UpstreamSender {
  const agent = createKeepAliveAgent({
    maxIdleMillis: MAX_IDLE_MILLIS,
    maxSocketsCount: MAX_SOCKETS_COUNT,
  });
  let answersCount = 0;
  return {
    send: (request, onEnd) => {
      const answersBefore = answersCount;
      const outgoing = {
        to: upstream,
        agent,
        method: request.method,
        target: request.target,
        headers: upstreamHeaders(request, names),
        body: request.body,
        connectTimeoutMillis: CONNECT_TIMEOUT_MILLIS,
        cancel: request.cancel,
      };
      sendRequest(outgoing, end => {
        if (end.kind === 'answer') answersCount += 1;
        // A request that hung to its end on a kept connection may have been lost
        // with it, and the other idle ones fell silent at the same moment. Not if
        // anything was answered meanwhile: an upstream that is slow would have
        // its connections opened anew with each timeout.
        const wasSilent = answersCount === answersBefore;
        if (end.kind === 'lost' && end.wasReused && wasSilent) {
          closeIdleConnections(agent, upstream);
        }
        onEnd(interpret(end, request, names));
      });
    },
    closeIdleConnections: () => {
      closeIdleConnections(agent, upstream);
    },
    dispose: () => {
      agent.destroy();
    },
  };
}

function upstreamHeaders(
  request: UpstreamRequest,
  names: WireHeaders,
): readonly string[] {
  return [
    ...request.headers,
    ...(names.isAttemptIdRequired ? [] : [names.attemptId, request.attemptId]),
    names.timeoutMillis,
    String(request.timeoutMillis),
    names.expectedUpstreamId,
    request.upstreamId,
    names.callerService,
    request.callerService,
    'connection',
    'keep-alive',
  ];
}

function interpret(
  end: SendResult,
  request: UpstreamRequest,
  names: WireHeaders,
): UpstreamResult {
  if (end.kind === 'not-sent') return {kind: 'not-run', reason: 'unreachable'};
  if (end.kind === 'lost') {
    const reason = request.cancel.isCancelled ? 'cancelled' : 'connection-lost';
    return {kind: 'unknown', reason, wasReused: end.wasReused};
  }
  const {answer} = end;
  if (isForeign(answer, request, names)) {
    end.discardConnection();
    return {kind: 'unknown', reason: 'broken-answer', wasReused: false};
  }
  if (answer.statusCode === STATUS_MISDIRECTED) {
    const actualId =
      names.upstreamId && findHeader(answer.headers, names.upstreamId);
    return {kind: 'not-run', reason: 'misdirected', actualId};
  }
  if (findHeader(answer.headers, names.notExecuted) !== undefined) {
    return {kind: 'not-run', reason: 'not-executed'};
  }
  return {kind: 'answered', answer};
}

/**
 * Whether the answer is not the upstream's answer to this request. A faulty
 * upstream sends a second answer late, which then stands where the next one is
 * expected; the caller would receive what belongs to somebody else.
 */
function isForeign(
  answer: ReceivedResponse,
  request: UpstreamRequest,
  names: WireHeaders,
): boolean {
  const {headers, statusCode} = answer;
  const echoedId = findHeader(headers, names.attemptId);
  if (echoedId !== undefined && echoedId !== request.attemptId) return true;
  if (findHeader(headers, 'content-encoding') !== undefined) return true;
  const isSuccess = statusCode >= 200 && statusCode < 300;
  if (!isSuccess || names.signature === undefined) return false;
  return (
    echoedId === undefined || findHeader(headers, names.signature) === undefined
  );
}
