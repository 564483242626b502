/**
 * Entry of requests into the layer: from callers of the availability zone and
 * from the local upstream, which calls deeper into the graph.
 */
import {v7 as newRequestId} from 'uuid';
import * as Effect from 'effect/Effect';
import type {TimeSource} from '../base/time_source.js';
import type {CallAnswer, CallFailure} from '../connection/call_messages.js';
import type {HttpExchange} from '../connection/http_listener.js';
import type {Metrics} from '../process/metrics.js';
import type {PolicyStore} from '../process/policy_store.js';
import type {RouteThrottle} from '../process/route_throttle.js';
import {HEADER} from '../protocol/headers.js';
import type {Failure} from '../protocol/outcome.js';
import type {CompiledPolicy} from '../version/policy.js';
import type {AnswerNotes} from './entry_answer.js';
import {
  isWorthRepeating,
  writeCallAnswer,
  writeFailure,
} from './entry_answer.js';
import type {EntryRequest} from './entry_request.js';
import {headerText, readEntryRequest, rejectEntry} from './entry_request.js';
import {createCallFailure} from './failures.js';
import type {InProgressRequests} from './in_progress.js';
import type {OutboundCalls} from './outbound_call.js';
import type {OutboundCall, RequestScope} from './request_scope.js';
import {createChildCalls} from './request_scope.js';
import type {RetryGrantFactory} from './retry_grant.js';
import {runThrottled} from './throttled_call.js';

/** What an entry needs. */
export interface EntryOptions {
  readonly hostName: string;
  readonly policies: PolicyStore;
  readonly calls: OutboundCalls;
  readonly inProgress: InProgressRequests;
  readonly createGrant: RetryGrantFactory;
  readonly throttle: RouteThrottle;
  readonly time: TimeSource;
  readonly metrics: Metrics;
  /** Requests in progress from callers and the upstream together. */
  readonly requestsCount: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Handlers of the two listeners at which requests enter. */
export interface Entry {
  handleCaller(exchange: HttpExchange): Effect.Effect<void>;
  handleLocal(exchange: HttpExchange): Effect.Effect<void>;
  /** Requests in progress at both. */
  count(): number;
}

type EntryKind = 'caller' | 'local';

/** Creates the entry of one node. */
export function createEntry(options: EntryOptions): Entry {
  let count = 0;
  const handle = (
    exchange: HttpExchange,
    kind: EntryKind,
  ): Effect.Effect<void> =>
    Effect.suspend(() => {
      // Without a bound a surge would fill the memory with waiting requests
      // whose deadlines pass before they are served.
      if (count >= options.requestsCount) {
        return refuseFull(options, exchange);
      }
      count += 1;
      return serve(options, exchange, kind).pipe(
        Effect.ensuring(
          Effect.sync(() => {
            count -= 1;
          }),
        ),
      );
    });
  return {
    handleCaller: exchange => handle(exchange, 'caller'),
    handleLocal: exchange => handle(exchange, 'local'),
    count: () => count,
  };
}

function refuseFull(
  options: EntryOptions,
  exchange: HttpExchange,
): Effect.Effect<void> {
  options.metrics.increment('entry.full');
  const failure = rejectEntry(
    'queue-full',
    'Too many requests are in progress at this host.',
    options.hostName,
  );
  return finishFailed(options, exchange, failure, {
    requestId: newRequestId(),
    policyVersion: undefined,
    retriesSpentCount: undefined,
  });
}

function serve(
  options: EntryOptions,
  exchange: HttpExchange,
  kind: EntryKind,
): Effect.Effect<void> {
  const parent = kind === 'local' ? findParent(options, exchange) : undefined;
  const policy = parent?.policy ?? options.policies.inForce();
  const requestId = parent?.requestId ?? newRequestId();
  if (policy === undefined) {
    const failure = rejectEntry(
      'no-policy',
      'No policy has been received yet.',
      options.hostName,
    );
    return finishFailed(options, exchange, failure, {
      requestId,
      policyVersion: undefined,
      retriesSpentCount: undefined,
    });
  }
  const notesWithout: AnswerNotes = {
    requestId,
    policyVersion: policy.version,
    retriesSpentCount: undefined,
  };
  return readEntryRequest(exchange.request, policy, options.hostName).pipe(
    Effect.matchEffect({
      onFailure: failure =>
        finishFailed(options, exchange, failure, notesWithout),
      onSuccess: entry => {
        const scope =
          parent === undefined
            ? openScope(options, entry, policy, requestId, kind)
            : childScope(options, entry, parent);
        const call = createCall(entry, scope);
        const answered =
          parent === undefined
            ? runThrottled(options, call, entry.match.route.name)
            : untilCancelled(options, call);
        return serveCall(options, exchange, call, answered);
      },
    }),
  );
}

/** The request in progress on whose behalf the local upstream calls. */
function findParent(
  options: EntryOptions,
  exchange: HttpExchange,
): RequestScope | undefined {
  const token = headerText(exchange.request, HEADER.context);
  const parent =
    token === undefined ? undefined : options.inProgress.find(token);
  if (parent === undefined) {
    const kind = token === undefined ? 'missing' : 'unknown';
    options.metrics.increment('entry.context_lost', {kind});
  }
  return parent;
}

/**
 * Scope of a request without a parent. A call of the local upstream that lost
 * its context gets the lowest class and no retries: otherwise dropping the
 * context would be a way around the bound on retries and around the class.
 */
function openScope(
  options: EntryOptions,
  entry: EntryRequest,
  policy: CompiledPolicy,
  requestId: string,
  kind: EntryKind,
): RequestScope {
  const {route, classIndex} = entry.match;
  const isCaller = kind === 'caller';
  return {
    requestId,
    policy,
    classIndex: isCaller ? classIndex : policy.policy.classes.length - 1,
    deadlineMonotonicMillis: ownDeadline(options, entry),
    grant: options.createGrant(isCaller ? route.retryBound : 0),
    isRepeatBanned: route.repeat === 'never',
    isStarted: false,
    children: createChildCalls(),
  };
}

/** Class, ban, grant and deadline come from the request in progress. */
function childScope(
  options: EntryOptions,
  entry: EntryRequest,
  parent: RequestScope,
): RequestScope {
  const deadlineMonotonicMillis = Math.min(
    parent.deadlineMonotonicMillis,
    ownDeadline(options, entry),
  );
  return {...parent, deadlineMonotonicMillis};
}

function ownDeadline(options: EntryOptions, entry: EntryRequest): number {
  const routeMillis = entry.match.route.deadlineMillis;
  const allowedMillis = Math.min(
    routeMillis,
    entry.timeoutMillis ?? routeMillis,
  );
  return options.time.monotonicMillis() + allowedMillis;
}

function createCall(entry: EntryRequest, scope: RequestScope): OutboundCall {
  const {repeat} = entry.match.route;
  const isBannedByParent = scope.isRepeatBanned && repeat !== 'safe';
  return {
    scope,
    service: entry.match.service.name,
    method: entry.method,
    path: entry.path,
    headers: entry.headers,
    body: entry.body,
    key: entry.key,
    isRepeatBanned: repeat === 'never' || isBannedByParent,
  };
}

/** Makes a call that ends when the request it is made for is given up. */
function untilCancelled(
  options: EntryOptions,
  call: OutboundCall,
): Effect.Effect<CallAnswer, CallFailure> {
  const cancelled = call.scope.children.cancelled.pipe(
    Effect.flatMap(() =>
      Effect.fail(
        createCallFailure({
          outcome: 'unknown',
          reason: 'cancelled',
          step: 'parent',
          peer: options.hostName,
          message: 'The request this call was made for was given up.',
        }),
      ),
    ),
  );
  return Effect.raceFirst(options.calls.run(call), cancelled);
}

function serveCall(
  options: EntryOptions,
  exchange: HttpExchange,
  call: OutboundCall,
  answered: Effect.Effect<CallAnswer, CallFailure>,
): Effect.Effect<void> {
  const {scope} = call;
  const grantedCount = scope.grant.remaining();
  const notes = (): AnswerNotes => ({
    requestId: scope.requestId,
    policyVersion: scope.policy.version,
    retriesSpentCount: grantedCount - scope.grant.remaining(),
  });
  return answered.pipe(
    Effect.matchEffect({
      onFailure: failure => finishFailed(options, exchange, failure, notes()),
      onSuccess: answer => {
        options.metrics.increment('request.answered', {
          class: String(scope.classIndex),
        });
        return Effect.asVoid(
          writeCallAnswer(exchange.response, answer, notes()),
        );
      },
    }),
  );
}

function finishFailed(
  options: EntryOptions,
  exchange: HttpExchange,
  failure: CallFailure,
  notes: AnswerNotes,
): Effect.Effect<void> {
  options.metrics.increment('request.failed', {
    reason: failure.failure.reason,
    outcome: failure.failure.outcome,
  });
  const told = withRetryAfter(options, failure.failure);
  // The rest of a body that was not read would be taken for a request.
  if (!exchange.request.complete) {
    exchange.response.setHeader('connection', 'close');
  }
  return Effect.asVoid(writeFailure(exchange.response, told, notes));
}

const DEFAULT_RETRY_AFTER_MILLIS = 1000;

/**
 * Every failure that a repeat may cure says when to come back, spread over
 * twice the minimum so that callers do not come back together.
 */
function withRetryAfter(options: EntryOptions, failure: Failure): Failure {
  if (failure.retryAfterMillis !== undefined) return failure;
  if (!isWorthRepeating(failure.reason)) return failure;
  const minimumMillis =
    options.policies.inForce()?.policy.timing.retryAfterMinimumMillis ??
    DEFAULT_RETRY_AFTER_MILLIS;
  const retryAfterMillis = Math.round(minimumMillis * (1 + options.random()));
  return {...failure, retryAfterMillis};
}
