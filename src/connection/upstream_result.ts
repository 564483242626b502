/**
 * What the response to a request, or its absence, shows about the request.
 */
import type {FailedDispatches} from '../process/retries/failed_dispatches.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import type {Announcements} from './announcements.js';
import {decodeAnnouncements} from './announcements.js';
import type {ConnectionIds} from './connection_ids.js';
import type {RawHeaders} from './raw_headers.js';
import type {ReceivedResponse} from './received_response.js';
import {findHeader, parseTransferCodings} from './received_response.js';
import type {ResponseHead} from './response_head.js';
import type {SendResult} from './send_request.js';
import type {UpstreamRequest} from './upstream_request.js';

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

/** A rejection of an order, and where it was received. */
export interface OrderRejection {
  readonly statusCode: number;
  /** The order was not executed; otherwise its outcome is unknown. */
  readonly isEvidence: boolean;
  readonly connectionId: number;
  /** Bytes received on the connection up to and including the rejection. */
  readonly receivedBytes: number;
}

/** A response to a request that was dispatched before, and had no success then. */
export interface RepeatedDispatch {
  readonly statusCode: number;
  readonly connectionId: number;
  /** Connections of the earlier dispatches; one of them may have sent this response. */
  readonly earlierConnectionIds: readonly number[];
}

/** Dependencies of `toUpstreamResult`. */
export interface UpstreamResultOptions {
  readonly wireHeaders: WireHeaders;
  readonly connectionIds: ConnectionIds;
  readonly failedDispatches: FailedDispatches;
  readonly nowMillis: () => number;
  /** The upstream has rejected a request that must not be repeated. */
  readonly onOrderRejected?:
    ((request: UpstreamRequest, rejection: OrderRejection) => void) | undefined;
  /** The upstream has sent a head that is not that of a final response. */
  readonly onInvalidHead?:
    ((request: UpstreamRequest, head: ResponseHead) => void) | undefined;
  /** A request that was dispatched before has been responded to. */
  readonly onRepeatedDispatch?:
    | ((request: UpstreamRequest, dispatch: RepeatedDispatch) => void)
    | undefined;
}

type ReceivedAnswer = Extract<SendResult, {kind: 'answer'}>;

const STATUS_MISDIRECTED = 421;

const DECODED_CODINGS: ReadonlySet<string> = new Set(['chunked', 'identity']);

/** Statuses from this one on are no success. */
const MIN_FAILURE_STATUS = 400;

/** Statuses by which clients know that a request has not run and never will. */
const NOT_RUN_STATUS_CODES: ReadonlySet<number> = new Set([408, 429, 503]);

/** Interprets how a request ended. */
export function toUpstreamResult(
  result: SendResult,
  request: UpstreamRequest,
  options: UpstreamResultOptions,
): UpstreamResult {
  const {wireHeaders} = options;
  if (result.kind === 'not-sent') {
    const reason = request.cancel.cause ?? 'unreachable';
    return {kind: 'not-run', reason};
  }
  if (result.kind === 'lost') {
    const reason = request.cancel.cause ?? 'connection-lost';
    return {kind: 'unknown', reason, wasReused: result.wasReused};
  }
  if (result.kind === 'invalid-head') {
    options.onInvalidHead?.(request, result.head);
    return {kind: 'unknown', reason: 'broken-answer', wasReused: false};
  }
  const {answer} = result;
  if (isMismatched(answer, request, wireHeaders)) {
    result.discardConnection();
    return {kind: 'unknown', reason: 'broken-answer', wasReused: false};
  }
  reportRepeatedDispatch(result, request, options);
  const isMisdirected = answer.statusCode === STATUS_MISDIRECTED;
  const isRejected =
    isMisdirected ||
    findHeader(answer.headers, wireHeaders.notExecuted) !== undefined;
  if (isRejected && !acceptRejection(result, request, options)) {
    result.discardConnection();
    return {kind: 'unknown', reason: 'broken-answer', wasReused: false};
  }
  if (request.isRepeatable && answer.statusCode >= MIN_FAILURE_STATUS) {
    recordFailure(result, request, options);
  }
  // The body of a rejection is not needed, and what is left of it is never read.
  if (isRejected && answer.bodyRest !== undefined) result.discardConnection();
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
 * Records and reports a rejection of an order; returns false if the outcome of the order is
 * unknown all the same.
 */
function acceptRejection(
  result: ReceivedAnswer,
  request: UpstreamRequest,
  options: UpstreamResultOptions,
): boolean {
  const {answer, connection} = result;
  const {attemptId, isRepeatable} = request;
  if (isRepeatable) return true;
  const connectionId = options.connectionIds.idOf(connection);
  const isFirstOnConnection = !options.failedDispatches
    .connectionIdsOf(attemptId)
    .has(connectionId);
  const isEvidence =
    isFirstOnConnection && hasOwnId(answer, request, options.wireHeaders);
  if (isEvidence) recordFailure(result, request, options);
  options.onOrderRejected?.(request, {
    statusCode: answer.statusCode,
    isEvidence,
    connectionId,
    receivedBytes: connection.bytesRead,
  });
  return isEvidence;
}

/** Remembers where a response without success to this request was received. */
function recordFailure(
  {connection}: ReceivedAnswer,
  {attemptId, timeoutMillis}: UpstreamRequest,
  {failedDispatches, connectionIds, nowMillis}: UpstreamResultOptions,
): void {
  const deadlineMillis = nowMillis() + timeoutMillis;
  failedDispatches.add(
    attemptId,
    connectionIds.idOf(connection),
    deadlineMillis,
  );
}

function reportRepeatedDispatch(
  {answer, connection}: ReceivedAnswer,
  request: UpstreamRequest,
  options: UpstreamResultOptions,
): void {
  const earlierIds = options.failedDispatches.connectionIdsOf(
    request.attemptId,
  );
  if (earlierIds.size === 0) return;
  options.onRepeatedDispatch?.(request, {
    statusCode: answer.statusCode,
    connectionId: options.connectionIds.idOf(connection),
    earlierConnectionIds: [...earlierIds],
  });
}

/** A rejection without the id may be a late response to an earlier request. */
function hasOwnId(
  {headers}: ReceivedResponse,
  {attemptId}: UpstreamRequest,
  wireHeaders: WireHeaders,
): boolean {
  if (!wireHeaders.isAttemptIdEchoed) return true;
  return findHeader(headers, wireHeaders.attemptId) === attemptId;
}

/** Whether the body is in a coding other than the framing, which is not decoded here. */
function hasUndecodedCoding(headers: RawHeaders): boolean {
  const codings = parseTransferCodings(
    findHeader(headers, 'transfer-encoding'),
  );
  return codings.some(coding => !DECODED_CODINGS.has(coding));
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
  if (hasUndecodedCoding(headers)) return true;
  const isSuccess = statusCode >= 200 && statusCode < 300;
  if (!isSuccess || wireHeaders.signature === undefined) return false;
  return (
    echoedId === undefined ||
    findHeader(headers, wireHeaders.signature) === undefined
  );
}
