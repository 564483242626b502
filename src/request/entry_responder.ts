/**
 * Sends the responses to requests that entered at this node, and writes the log lines
 * and metrics for them.
 */
import {isCloseDelimited, sendResponse} from '../connection/response_sender.js';
import type {HttpExchange} from '../connection/http_listener.js';
import {forwardedHeaders} from '../connection/raw_headers.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import type {NodeMetrics} from '../process/log/node_metrics.js';
import type {StopPlan} from '../process/stop/stop_plan.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {NoteHeaders} from '../protocol/wire_headers.js';
import type {ServiceRoute} from '../version/route_configuration.js';
import type {
  OpenRequest,
  OverQuotaRequest,
  ShedRequest,
  UnenteredRequest,
} from './open_request.js';
import type {AttemptsResult} from './attempt_runner.js';
import {closingHeaders, sendEmptyResponse} from './empty_response.js';
import {createRetryAfter} from './retry_after.js';

/** Sends responses. */
export interface EntryResponder {
  /** Sends the result of the attempts. */
  sendResult(request: OpenRequest, result: AttemptsResult): void;
  /** Records that the client disconnected before the response. */
  recordClientLeft(request: OpenRequest, result: AttemptsResult): void;
  /** Refuses a request as not executed: entry admission shed it. */
  shed(exchange: HttpExchange, request: ShedRequest): void;
  /**
   * Records a request that will not run: its connection closed before the responses to
   * earlier requests on it had been sent.
   */
  recordUnread(exchange: HttpExchange, request: UnenteredRequest): void;
  /** Fails a request that was sent again with its id and may have run already. */
  failRepeated(request: OpenRequest): void;
  /** Refuses a request as not executed: its organisation is over its quota. */
  refuseOverQuota(exchange: HttpExchange, request: OverQuotaRequest): void;
  /** Refuses a request as not executed: this node is stopping and accepts no more. */
  refuseDuringStop(exchange: HttpExchange, request: UnenteredRequest): void;
  /** Refuses a request as not executed: this node is not ready yet. */
  refuse(exchange: HttpExchange, refusal: {readonly reason: string}): void;
  /** Rejects a request as not executed: it is invalid. */
  reject(exchange: HttpExchange, statusCode: number, reason: string): void;
  /** Rejects a request as not executed: the client must send a valid API key. */
  challenge(exchange: HttpExchange, reason: string): void;
  /** Counts a request that entered, by its sender (upstream or client). */
  countEntered(isFromUpstream: boolean): void;
}

/** Dependencies of the entry responder. */
export interface EntryResponderOptions {
  readonly log: DecisionLog;
  readonly metrics: NodeMetrics;
  /** Names of diagnostic response headers, if they are enabled. */
  readonly notes: NoteHeaders | undefined;
  readonly stop: StopPlan;
  readonly configurationVersion: () => number;
  /** Admission level of a service. */
  readonly levelOf: (service: string) => number;
  /** Requests that a service can process per second; `undefined` if unknown. */
  readonly capacityPerSecondOf: (service: string) => number | undefined;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

const STATUS_UNAUTHORIZED = 401;
const STATUS_BAD_GATEWAY = 502;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;
const STATUS_GATEWAY_TIMEOUT = 504;

const MILLIS_PER_SECOND = 1000;

/** Required in a 401 response (RFC 9110, 11.6.1). */
const CHALLENGE_HEADERS = ['www-authenticate', 'Bearer'];

/** Reasons for which the time of a request was up. */
const GATEWAY_TIMEOUT_REASONS: ReadonlySet<HopReason> = new Set([
  'deadline',
  'stopping',
  'cancelled',
]);

const NO_HEADERS: ReadonlySet<string> = new Set();

/** Creates the entry responder of a node. */
export function createEntryResponder(
  options: EntryResponderOptions,
): EntryResponder {
  const {log, metrics, nowMillis} = options;
  const retryAfter = createRetryAfter(options);

  const writeEmptyResponse = (
    exchange: HttpExchange,
    statusCode: number,
    headers: readonly string[],
  ): void => {
    sendEmptyResponse(options.stop, exchange, {statusCode, headers});
  };

  const writeRefusal = (
    exchange: HttpExchange,
    reason: string,
    millis: number,
    statusCode = STATUS_UNAVAILABLE,
  ): void => {
    const seconds = (millis / MILLIS_PER_SECOND).toFixed(3);
    writeEmptyResponse(exchange, statusCode, [
      'retry-after',
      seconds,
      ...failureNotes('not-run', reason),
    ]);
  };

  const failureNotes = (outcome: string, reason: string): readonly string[] => {
    const {notes} = options;
    if (notes === undefined) return [];
    return [notes.outcome, outcome, notes.reason, reason, ...versionNotes()];
  };

  const versionNotes = (): readonly string[] => {
    const {notes} = options;
    if (notes === undefined) return [];
    return [notes.configurationVersion, String(options.configurationVersion())];
  };

  /** Reports the number of retries that the request has spent. */
  const retryNotes = ({route, origin}: OpenRequest): readonly string[] => {
    const {notes} = options;
    if (notes === undefined) return [];
    const spentCount = route.repeatsCount - origin.grant.remaining();
    return [notes.repeatsCount, String(Math.max(0, spentCount))];
  };

  const recordResponse = (
    request: {route: ServiceRoute; arrivedMillis: number},
    statusCode: number,
  ): number => {
    const millis = nowMillis() - request.arrivedMillis;
    metrics.recordResponse(request.route.name, statusCode, millis);
    return Math.round(millis);
  };

  const describeResult = (request: OpenRequest, result: AttemptsResult) => ({
    requestId: request.attemptId,
    route: request.route.name,
    service: request.service,
    upstream: result.upstreamId,
    sentCount: result.sentCount,
    configurationVersion: options.configurationVersion(),
    reason:
      result.lastResult.kind === 'answered'
        ? 'answered'
        : result.lastResult.reason,
  });

  const sendAnswered = (request: OpenRequest, result: AttemptsResult): void => {
    if (result.lastResult.kind !== 'answered') return;
    const {answer} = result.lastResult;
    const {exchange} = request;
    const headers = [
      ...forwardedHeaders(answer.headers, NO_HEADERS),
      ...versionNotes(),
      ...retryNotes(request),
      ...closingHeaders(exchange, options.stop.isStopping),
    ];
    const method = exchange.request.method ?? 'GET';
    const {response} = exchange;
    if (isCloseDelimited(response, answer, method)) {
      exchange.ignoreFurtherRequests();
    }
    const onCut = (cause: string): void => {
      metrics.recordCutResponse();
      log.logRequestEvent('response-cut', {
        ...describeResult(request, result),
        cause,
        millis: Math.round(nowMillis() - request.arrivedMillis),
      });
    };
    sendResponse(response, answer, headers, {method, onCut});
    const millis = recordResponse(request, answer.statusCode);
    if (answer.statusCode < 500) return;
    log.logRequestEvent('answered-failure', {
      ...describeResult(request, result),
      statusCode: answer.statusCode,
      hasFailedCall: result.lastResult.hasFailedCall,
      millis,
    });
  };

  const reject = (
    exchange: HttpExchange,
    statusCode: number,
    reason: string,
    headers: readonly string[] = [],
  ): void => {
    writeEmptyResponse(exchange, statusCode, [
      ...headers,
      ...failureNotes('not-run', reason),
    ]);
    log.logRequestEvent('rejected', {
      statusCode,
      reason,
      host: exchange.request.headers.host,
      target: exchange.request.url,
      configurationVersion: options.configurationVersion(),
    });
  };

  return {
    sendResult: (request, result) => {
      const {exchange} = request;
      if (result.lastResult.kind === 'answered') {
        sendAnswered(request, result);
        return;
      }
      if (!result.mayHaveRun) {
        const {reason} = result.lastResult;
        const retryAfterMillis = retryAfter.afterRefusal(request, reason);
        writeRefusal(exchange, reason, retryAfterMillis);
        const millis = recordResponse(request, STATUS_UNAVAILABLE);
        log.logRequestEvent('refused', {
          ...describeResult(request, result),
          retryAfterMillis: Math.round(retryAfterMillis),
          millis,
        });
        return;
      }
      const {reason} = result.lastResult;
      const statusCode = GATEWAY_TIMEOUT_REASONS.has(reason)
        ? STATUS_GATEWAY_TIMEOUT
        : STATUS_BAD_GATEWAY;
      writeEmptyResponse(exchange, statusCode, [
        ...failureNotes('unknown', reason),
        ...retryNotes(request),
      ]);
      const millis = recordResponse(request, statusCode);
      log.logRequestEvent('failed', {
        ...describeResult(request, result),
        statusCode,
        millis,
        leftMillis: Math.round(request.deadlineMillis - nowMillis()),
        isStopping: options.stop.isStopping,
      });
    },
    recordClientLeft: (request, result) => {
      const millis = Math.round(nowMillis() - request.arrivedMillis);
      log.logRequestEvent('client-left', {
        ...describeResult(request, result),
        precedingCount: request.exchange.precedingCount,
        millis,
      });
    },
    recordUnread: ({receivedMillis, precedingCount}, {attemptId, route}) => {
      metrics.recordUnread();
      log.logRequestEvent('order-unread', {
        requestId: attemptId,
        route: route.name,
        precedingCount,
        millis: Math.round(nowMillis() - receivedMillis),
      });
    },
    failRepeated: ({exchange, attemptId, route, arrivedMillis}) => {
      writeEmptyResponse(exchange, STATUS_BAD_GATEWAY, [
        ...failureNotes('unknown', 'repeated'),
      ]);
      metrics.recordRepeatedOrder('entry');
      const millis = recordResponse({route, arrivedMillis}, STATUS_BAD_GATEWAY);
      log.logRequestEvent('order-repeated', {
        requestId: attemptId,
        route: route.name,
        millis,
      });
    },
    shed: (exchange, request) => {
      const retryAfterMillis = retryAfter.usual(request.route);
      writeRefusal(exchange, 'shed', retryAfterMillis);
      const {service, reason} = request.cause;
      metrics.recordShed(service);
      recordResponse(request, STATUS_UNAVAILABLE);
      log.logRequestEvent('shed', {
        requestId: request.attemptId,
        route: request.route.name,
        shedBy: service,
        reason,
        importance: request.importance,
        serviceLevel: options.levelOf(service),
        configurationVersion: options.configurationVersion(),
        retryAfterMillis: Math.round(retryAfterMillis),
      });
    },
    refuseOverQuota: (exchange, {attemptId, route, decision}) => {
      const {allowance, coordinator} = decision;
      // An earlier retry, before the quota has room again, would be refused as well.
      const retryAfterMillis = Math.max(
        retryAfter.usual(route),
        allowance.returnMillis,
      );
      const statusCode = STATUS_TOO_MANY_REQUESTS;
      writeRefusal(exchange, 'over-quota', retryAfterMillis, statusCode);
      metrics.recordOverQuota();
      metrics.recordResponse(route.name, statusCode, 0);
      log.logRequestEvent('over-quota', {
        requestId: attemptId,
        route: route.name,
        organisation: allowance.organisation,
        ranPerSecond: allowance.ranPerSecond,
        limitPerSecond: allowance.limitPerSecond,
        admittedRatios: allowance.admittedRatios.join(' '),
        knownAgeMillis: Math.round(allowance.ageMillis),
        coordinator,
        configurationVersion: options.configurationVersion(),
        retryAfterMillis: Math.round(retryAfterMillis),
      });
    },
    refuseDuringStop: (exchange, {attemptId, route}) => {
      // Not the time until this host is back: another host may serve the request
      // before then, and a retry seconds later misses most objectives. In a rolling
      // restart under load, 0.92 of all requests were served with that time, and 0.94
      // with the `retry-after` of other refusals.
      const retryAfterMillis = retryAfter.usual(route);
      writeRefusal(exchange, 'stopping', retryAfterMillis);
      metrics.recordResponse(route.name, STATUS_UNAVAILABLE, 0);
      log.logRequestEvent('refused', {
        requestId: attemptId,
        route: route.name,
        reason: 'stopping',
        sentCount: 0,
        retryAfterMillis: Math.round(retryAfterMillis),
      });
    },
    refuse: (exchange, refusal) => {
      writeRefusal(exchange, refusal.reason, retryAfter.usual(undefined));
      log.logRequestEvent('refused', {reason: refusal.reason});
    },
    reject,
    challenge: (exchange, reason) => {
      reject(exchange, STATUS_UNAUTHORIZED, reason, CHALLENGE_HEADERS);
    },
    countEntered: metrics.recordEntered,
  };
}
