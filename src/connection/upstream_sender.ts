/**
 * Sends requests to the upstream of this host and reports their results.
 */
import type {Disposable} from '../base/lifecycle.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import type {RequestCancelSignal} from '../protocol/cancel_cause.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import type {Announcements} from './announcements.js';
import {decodeAnnouncements} from './announcements.js';
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
  readonly isRepeatable: boolean;
  readonly timeoutMillis: number;
  readonly cancel: RequestCancelSignal;
}

/** Result of a request. */
export type UpstreamResult =
  | {
      readonly kind: 'answered';
      readonly answer: ReceivedResponse;
      readonly announcements?: Announcements;
    }
  /** Not run, and it will not run. */
  | {
      readonly kind: 'not-run';
      readonly reason: HopReason;
      /** Id that the upstream reports as its own, if it differs. */
      readonly actualId?: string | undefined;
      /** `undefined` without a response. */
      readonly announcements?: Announcements;
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
  send(request: UpstreamRequest, onEnd: (result: UpstreamResult) => void): void;
  /**
   * Closes idle connections, which belong to a previous start of the upstream.
   * If they were dropped silently, a request sent on one would get no response,
   * and it would be unknown whether it ran.
   */
  closeIdleConnections(): void;
}

/**
 * Connect timeout within one host, where connecting takes about a millisecond:
 * beyond it the upstream is dead or cannot accept connections.
 */
const CONNECT_TIMEOUT_MILLIS = 300;

/** Idle timeout; shorter than that of an upstream that announces none. */
const MAX_IDLE_MILLIS = 4000;

/**
 * Maximum number of connections to the upstream; the number of its slots is a
 * stricter limit.
 */
const MAX_SOCKETS_COUNT = 1024;

const STATUS_MISDIRECTED = 421;

/** Statuses by which clients know that a request has not run and never will. */
const NOT_RUN_STATUS_CODES: ReadonlySet<number> = new Set([408, 429, 503]);

/** Creates a sender with an empty pool. */
export function createUpstreamSender(
  upstream: Endpoint,
  wireHeaders: WireHeaders,
): UpstreamSender {
  const agent = createKeepAliveAgent({
    maxIdleMillis: MAX_IDLE_MILLIS,
    maxSocketsCount: MAX_SOCKETS_COUNT,
  });
  let responsesCount = 0;
  return {
    send: (request, onEnd) => {
      const responsesBefore = responsesCount;
      const outgoing = {
        to: upstream,
        agent,
        method: request.method,
        target: request.target,
        headers: upstreamHeaders(request, wireHeaders),
        body: request.body,
        connectTimeoutMillis: CONNECT_TIMEOUT_MILLIS,
        cancel: request.cancel,
      };
      sendRequest(outgoing, result => {
        if (result.kind === 'answer') responsesCount += 1;
        // A request that timed out on a reused connection may have been lost
        // with it, and other idle connections were probably dropped at the same
        // moment. If any response arrived meanwhile, the upstream is only slow,
        // and closing would open new connections after each timeout.
        const wasSilent = responsesCount === responsesBefore;
        if (result.kind === 'lost' && result.wasReused && wasSilent) {
          closeIdleConnections(agent, upstream);
        }
        onEnd(toUpstreamResult(result, request, wireHeaders));
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
  wireHeaders: WireHeaders,
): readonly string[] {
  return [
    ...request.headers,
    ...(wireHeaders.isAttemptIdRequired
      ? []
      : [wireHeaders.attemptId, request.attemptId]),
    wireHeaders.timeoutMillis,
    String(request.timeoutMillis),
    wireHeaders.expectedUpstreamId,
    request.upstreamId,
    wireHeaders.callerService,
    request.callerService,
    'connection',
    'keep-alive',
  ];
}

function toUpstreamResult(
  result: SendResult,
  request: UpstreamRequest,
  wireHeaders: WireHeaders,
): UpstreamResult {
  if (result.kind === 'not-sent') {
    const reason = request.cancel.cause ?? 'unreachable';
    return {kind: 'not-run', reason};
  }
  if (result.kind === 'lost') {
    const reason = request.cancel.cause ?? 'connection-lost';
    return {kind: 'unknown', reason, wasReused: result.wasReused};
  }
  const {answer} = result;
  if (isMismatched(answer, request, wireHeaders)) {
    result.discardConnection();
    return {kind: 'unknown', reason: 'broken-answer', wasReused: false};
  }
  const isMisdirected = answer.statusCode === STATUS_MISDIRECTED;
  const isRejected =
    isMisdirected ||
    findHeader(answer.headers, wireHeaders.notExecuted) !== undefined;
  if (isRejected && !isEvidence(answer, request, wireHeaders)) {
    result.discardConnection();
    return {kind: 'unknown', reason: 'broken-answer', wasReused: false};
  }
  const announcements = decodeAnnouncements(answer.headers, wireHeaders);
  if (isMisdirected) {
    const actualId =
      wireHeaders.upstreamId &&
      findHeader(answer.headers, wireHeaders.upstreamId);
    return {kind: 'not-run', reason: 'misdirected', actualId, announcements};
  }
  if (isRejected) {
    return {kind: 'not-run', reason: 'not-executed', announcements};
  }
  // Passed on, the status would promise that the request has not run.
  if (!request.isRepeatable && NOT_RUN_STATUS_CODES.has(answer.statusCode)) {
    result.discardConnection();
    return {kind: 'unknown', reason: 'broken-answer', wasReused: false};
  }
  return {kind: 'answered', answer, announcements};
}

/**
 * Whether a rejection shows that this request was not executed. One without its id may be
 * a late response to an earlier request on the connection.
 */
function isEvidence(
  {headers}: ReceivedResponse,
  {attemptId, isRepeatable}: UpstreamRequest,
  wireHeaders: WireHeaders,
): boolean {
  if (isRepeatable || !wireHeaders.isAttemptIdEchoed) return true;
  return findHeader(headers, wireHeaders.attemptId) === attemptId;
}

/**
 * Whether the response does not belong to this request. A faulty upstream may
 * send a second response late, which is then read as the response to the next
 * request; the caller would receive data of another caller.
 */
function isMismatched(
  response: ReceivedResponse,
  request: UpstreamRequest,
  wireHeaders: WireHeaders,
): boolean {
  const {headers, statusCode} = response;
  const echoedId = findHeader(headers, wireHeaders.attemptId);
  if (echoedId !== undefined && echoedId !== request.attemptId) return true;
  if (findHeader(headers, 'content-encoding') !== undefined) return true;
  const isSuccess = statusCode >= 200 && statusCode < 300;
  if (!isSuccess || wireHeaders.signature === undefined) return false;
  return (
    echoedId === undefined ||
    findHeader(headers, wireHeaders.signature) === undefined
  );
}
