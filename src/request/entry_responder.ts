/**
 * Answers at the entry, with the line and the counters that explain each.
 */
import {isCloseDelimited, sendResponse} from '../connection/response_sender.js';
import type {HttpExchange} from '../connection/http_listener.js';
import {forwardedHeaders} from '../connection/raw_headers.js';
import {hasBody} from '../connection/request_body.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import type {NodeMetrics} from '../process/log/node_metrics.js';
import type {StopPlan} from '../process/stop/stop_plan.js';
import type {NoteHeaders} from '../protocol/wire_headers.js';
import type {ServiceRoute} from '../version/route_configuration.js';
import type {
  OpenRequest,
  RequestDuringStop,
  OverQuotaRequest,
  ShedRequest,
} from './open_request.js';
import type {AttemptsResult} from './attempt_runner.js';

/** Writes answers. */
export interface EntryResponder {
  /** Passes on what came of the attempts. */
  sendResult(request: OpenRequest, end: AttemptsResult): void;
  /** The client left before the answer. */
  recordClientLeft(request: OpenRequest, end: AttemptsResult): void;
  /** Not run: the gate kept it out. */
  shed(exchange: HttpExchange, request: ShedRequest): void;
  /** Not run: its organisation is over its quota. */
  refuseOverQuota(exchange: HttpExchange, request: OverQuotaRequest): void;
  /** Not run: this node stops and takes nothing more. */
  refuseDuringStop(exchange: HttpExchange, request: RequestDuringStop): void;
  /** Not run: this node cannot serve anything yet. */
  refuse(exchange: HttpExchange, refusal: {readonly reason: string}): void;
  /** The request itself is not acceptable. */
  reject(exchange: HttpExchange, statusCode: number, reason: string): void;
  /** Not run: the client has to send an API key that is in force. */
  challenge(exchange: HttpExchange, reason: string): void;
  /** Counts a request that entered, by who sent it. */
  countEntered(isUpstreams: boolean): void;
}

/** What answers need. */
export interface EntryResponderOptions {
  readonly log: DecisionLog;
  readonly metrics: NodeMetrics;
  /** Headers of notes, where clients want them. */
  readonly notes: NoteHeaders | undefined;
  readonly stop: StopPlan;
  readonly configurationVersion: () => number;
  /** Level of a service. */
  readonly levelOf: (service: string) => number;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

const STATUS_UNAUTHORIZED = 401;
const STATUS_BAD_GATEWAY = 502;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;
const STATUS_GATEWAY_TIMEOUT = 504;

/**
 * Window in which a refused client is asked to retry, as shares of the
 * route's objective: late enough for some of the excess to pass, early enough
 * to be answered in time, and spread so that not all retry together.
 */
const RETURN_EARLIEST_RATIO = 0.2;
const RETURN_LATEST_RATIO = 0.7;

/**
 * Asked of callers whose request crashes upstreams: it is refused for as long as it
 * is not cleared, so that a short time would only bring them back in vain.
 */
const RETURN_QUARANTINED_MILLIS = 30_000;

/** Asked of clients whose request has no route yet to take an objective from. */
const RETURN_UNKNOWN_MILLIS = 500;

const MILLIS_PER_SECOND = 1000;

/** Required in an answer of status 401 (RFC 9110, 11.6.1). */
const CHALLENGE_HEADERS = ['www-authenticate', 'Bearer'];

const NO_HEADERS: ReadonlySet<string> = new Set();

/** Creates the answers of one node. */
export function createEntryResponder(
  options: EntryResponderOptions,
): EntryResponder {
  const {log, metrics, nowMillis} = options;

  const returnMillis = (route: ServiceRoute | undefined): number => {
    if (route === undefined) return RETURN_UNKNOWN_MILLIS;
    const width = RETURN_LATEST_RATIO - RETURN_EARLIEST_RATIO;
    const ratio = RETURN_EARLIEST_RATIO + width * options.random();
    return route.objectiveMillis * ratio;
  };

  const write = (
    exchange: HttpExchange,
    statusCode: number,
    headers: readonly string[],
  ): void => {
    const {request, response} = exchange;
    if (response.destroyed || response.headersSent) return;
    const isUnread = hasBody(request) && !request.complete;
    response.writeHead(statusCode, [
      ...headers,
      ...closingHeaders(exchange, isUnread),
      'content-length',
      '0',
    ]);
    response.end();
  };

  /** A node that stops ends its connections where nothing is lost by it. */
  const closingHeaders = (
    exchange: HttpExchange,
    isUnread: boolean,
  ): readonly string[] => {
    if (!options.stop.isStopping && !isUnread) return [];
    if (!exchange.isNewestOnConnection()) return [];
    exchange.ignoreFurtherRequests();
    return ['connection', 'close'];
  };

  const writeRefusal = (
    exchange: HttpExchange,
    reason: string,
    millis: number,
    statusCode = STATUS_UNAVAILABLE,
  ): void => {
    const seconds = (millis / MILLIS_PER_SECOND).toFixed(3);
    write(exchange, statusCode, [
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

  /** Repeats that a request has spent of its grant. */
  const repeatNotes = ({route, origin}: OpenRequest): readonly string[] => {
    const {notes} = options;
    if (notes === undefined) return [];
    const spentCount = route.repeatsCount - origin.grant.remaining();
    return [notes.repeatsCount, String(Math.max(0, spentCount))];
  };

  const record = (
    request: {route: ServiceRoute; arrivedMillis: number},
    statusCode: number,
  ): number => {
    const millis = nowMillis() - request.arrivedMillis;
    metrics.recordResponse(request.route.name, statusCode, millis);
    return Math.round(millis);
  };

  const describe = (request: OpenRequest, end: AttemptsResult) => ({
    requestId: request.attemptId,
    route: request.route.name,
    service: request.service,
    upstream: end.upstreamId,
    sentCount: end.sentCount,
    configurationVersion: options.configurationVersion(),
    reason:
      end.lastResult.kind === 'answered' ? 'answered' : end.lastResult.reason,
  });

  const finishAnswered = (request: OpenRequest, end: AttemptsResult): void => {
    if (end.lastResult.kind !== 'answered') return;
    const {answer} = end.lastResult;
    const {exchange} = request;
    const headers = [
      ...forwardedHeaders(answer.headers, NO_HEADERS),
      ...versionNotes(),
      ...repeatNotes(request),
      ...closingHeaders(exchange, false),
    ];
    const method = exchange.request.method ?? 'GET';
    if (isCloseDelimited(answer, method)) exchange.ignoreFurtherRequests();
    sendResponse(exchange.response, answer, headers, method);
    const millis = record(request, answer.statusCode);
    if (answer.statusCode < 500) return;
    log.logRequestEvent('answered-failure', {
      ...describe(request, end),
      statusCode: answer.statusCode,
      hasFailedCall: end.lastResult.hasFailedCall,
      millis,
    });
  };

  const reject = (
    exchange: HttpExchange,
    statusCode: number,
    reason: string,
    headers: readonly string[] = [],
  ): void => {
    write(exchange, statusCode, [
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
    sendResult: (request, end) => {
      const {exchange, route} = request;
      if (end.lastResult.kind === 'answered') {
        finishAnswered(request, end);
        return;
      }
      if (!end.mayHaveRun) {
        const {reason} = end.lastResult;
        const returnAfter =
          reason === 'quarantined'
            ? RETURN_QUARANTINED_MILLIS
            : returnMillis(route);
        writeRefusal(exchange, reason, returnAfter);
        const millis = record(request, STATUS_UNAVAILABLE);
        log.logRequestEvent('refused', {
          ...describe(request, end),
          retryAfterMillis: Math.round(returnAfter),
          millis,
        });
        return;
      }
      // Only the deadline cancels a request whose client is still there.
      const statusCode =
        end.lastResult.reason === 'cancelled'
          ? STATUS_GATEWAY_TIMEOUT
          : STATUS_BAD_GATEWAY;
      write(exchange, statusCode, [
        ...failureNotes('unknown', end.lastResult.reason),
        ...repeatNotes(request),
      ]);
      const millis = record(request, statusCode);
      log.logRequestEvent('failed', {
        ...describe(request, end),
        statusCode,
        millis,
      });
    },
    recordClientLeft: (request, end) => {
      const millis = Math.round(nowMillis() - request.arrivedMillis);
      log.logRequestEvent('client-left', {...describe(request, end), millis});
    },
    shed: (exchange, request) => {
      const returnAfter = returnMillis(request.route);
      writeRefusal(exchange, 'shed', returnAfter);
      const {service, reason} = request.cause;
      metrics.recordShed(service);
      record(request, STATUS_UNAVAILABLE);
      log.logRequestEvent('shed', {
        requestId: request.attemptId,
        route: request.route.name,
        shedBy: service,
        reason,
        importance: request.importance,
        serviceLevel: options.levelOf(service),
        configurationVersion: options.configurationVersion(),
        retryAfterMillis: Math.round(returnAfter),
      });
    },
    refuseOverQuota: (exchange, {attemptId, route, decision}) => {
      const {allowance, coordinator} = decision;
      // Not before the quota has room again, or its client would come in vain.
      const returnAfter = Math.max(returnMillis(route), allowance.returnMillis);
      const statusCode = STATUS_TOO_MANY_REQUESTS;
      writeRefusal(exchange, 'over-quota', returnAfter, statusCode);
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
        retryAfterMillis: Math.round(returnAfter),
      });
    },
    refuseDuringStop: (exchange, {attemptId, route}) => {
      // Not the time at which this host serves again: another host may serve it
      // by then, and asked back seconds later most clients are past their
      // objective. In a run of stops in turn under a press 0.92 of all
      // requests were served so, and 0.94 with the time of every refusal.
      const returnAfter = returnMillis(route);
      writeRefusal(exchange, 'stopping', returnAfter);
      metrics.recordResponse(route.name, STATUS_UNAVAILABLE, 0);
      log.logRequestEvent('refused', {
        requestId: attemptId,
        route: route.name,
        reason: 'stopping',
        sentCount: 0,
        retryAfterMillis: Math.round(returnAfter),
      });
    },
    refuse: (exchange, refusal) => {
      writeRefusal(exchange, refusal.reason, returnMillis(undefined));
      log.logRequestEvent('refused', {reason: refusal.reason});
    },
    reject,
    challenge: (exchange, reason) => {
      reject(exchange, STATUS_UNAUTHORIZED, reason, CHALLENGE_HEADERS);
    },
    countEntered: metrics.recordEntered,
  };
}
