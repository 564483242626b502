/**
 * Handles requests that enter at this host: from clients, and from the local upstream,
 * which calls other services.
 */
import {createCancelSource} from '../base/cancel_signal.js';
import type {ExecutionCall} from '../connection/execution.js';
import type {HttpExchange} from '../connection/http_listener.js';
import {forwardedHeaders} from '../connection/raw_headers.js';
import {readRequestBody} from '../connection/request_body.js';
import type {UnframedBodies} from '../connection/unframed_bodies.js';
import type {CallTreeProbes} from '../process/admission/call_tree_probes.js';
import type {CallTrees} from '../process/admission/call_trees.js';
import {downstreamCallCounts} from '../process/admission/call_trees.js';
import type {CompletionThrottle} from '../process/admission/completion_throttle.js';
import type {ConfigurationHolder} from '../process/membership/configuration_holder.js';
import type {
  EntryAdmission,
  ShedCause,
} from '../process/admission/entry_admission.js';
import type {
  InFlightParent,
  InFlightParents,
} from '../process/retries/in_flight_parents.js';
import type {LoadPoller} from '../process/admission/load_poller.js';
import type {RetryBudget} from '../process/retries/retry_budget.js';
import type {
  QuotaDecision,
  QuotaEnforcer,
} from '../process/quota/quota_enforcer.js';
import type {StopPlan} from '../process/stop/stop_plan.js';
import type {WeightedTargets} from '../process/placement/weighted_targets.js';
import type {
  CancelCause,
  RequestCancelSource,
} from '../protocol/cancel_cause.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import type {RouteTable} from '../version/route_table.js';
import type {AttemptsResult, AttemptRunner} from './attempt_runner.js';
import type {EntryResponder} from './entry_responder.js';
import type {EnteredRequest} from './entered_request.js';
import {createEnteredRequest} from './entered_request.js';
import type {OpenRequests} from './open_requests.js';
import {CREDENTIALS_HEADER} from './credentials.js';
import type {RoutedRequest} from './entered_request.js';
import type {OrderEntryOptions} from './order_entry.js';
import {awaitTurn, beginOrder} from './order_entry.js';
import type {Admission} from './record_outcome.js';
import {recordOutcome, targetOf} from './record_outcome.js';
import {routeRequest} from './request_routing.js';
import {completeResponse} from './response_completion.js';

/** Handles requests that enter here. */
export interface OutboundExchanges {
  /** Requests of clients, and of the upstream if it has no listener of its own. */
  handle(exchange: HttpExchange): Promise<void>;
  /** Requests that only the upstream of this host can send. */
  handleLocal(exchange: HttpExchange): Promise<void>;
}

/** Dependencies of the outbound exchanges. */
export interface OutboundOptions extends OrderEntryOptions {
  readonly wireHeaders: WireHeaders;
  readonly ownService: () => string;
  readonly configuration: ConfigurationHolder;
  readonly entryAdmission: EntryAdmission;
  readonly completionThrottle: CompletionThrottle;
  readonly loadPoller: LoadPoller;
  readonly targets: WeightedTargets;
  readonly trees: CallTrees;
  readonly treeProbes: CallTreeProbes;
  /** Called when a request is admitted to correct its call tree. */
  readonly onProbe: (entered: EnteredRequest, cause: ShedCause) => void;
  readonly budget: RetryBudget;
  readonly quotas: QuotaEnforcer;
  readonly parents: InFlightParents;
  readonly stop: StopPlan;
  readonly attempts: AttemptRunner;
  readonly responder: EntryResponder;
  readonly open: OpenRequests;
  readonly unframedBodies: UnframedBodies;
  readonly nowMillis: () => number;
}

/**
 * Longest wait for a slot, as a ratio of the route's latency objective. After a longer
 * wait neither the request nor the client's retry is likely to meet the objective.
 */
const MAX_SLOT_WAIT_RATIO = 0.25;

/** Creates the outbound exchanges of a node. */
export function createOutboundExchanges(
  options: OutboundOptions,
): OutboundExchanges {
  const {wireHeaders} = options;
  const ownHeaders: ReadonlySet<string> = new Set([
    wireHeaders.timeoutMillis,
    wireHeaders.expectedUpstreamId,
    wireHeaders.callerService,
    ...(wireHeaders.isAttemptIdRequired ? [] : [wireHeaders.attemptId]),
  ]);
  const dropped = {
    ownHeaders,
    withKeys: new Set([
      ...ownHeaders,
      CREDENTIALS_HEADER,
      wireHeaders.organisation,
    ]),
  };
  return {
    handle: exchange => handle(options, exchange, {dropped, isLocal: false}),
    handleLocal: exchange =>
      handle(options, exchange, {dropped, isLocal: true}),
  };
}

/** Lower-case names of headers that are not forwarded. */
interface DroppedHeaders {
  /** Headers that only nodes may set. */
  readonly ownHeaders: ReadonlySet<string>;
  /** If clients send API keys: also the credentials and the organisation. */
  readonly withKeys: ReadonlySet<string>;
}

/** How a request entered. */
interface EntryContext {
  readonly dropped: DroppedHeaders;
  readonly isLocal: boolean;
}

async function handle(
  options: OutboundOptions,
  exchange: HttpExchange,
  {dropped, isLocal}: EntryContext,
): Promise<void> {
  const {responder} = options;
  const routed = routeRequest(options, exchange, isLocal);
  if (routed === undefined) return;
  const isInTurn = awaitTurn(options, exchange, routed);
  if (!(isInTurn instanceof Promise ? await isInTurn : isInTurn)) return;
  if (refuseIfStopping(options, exchange, routed)) return;
  const isAdmitted = checkQuota(options, exchange, routed);
  if (!(isAdmitted instanceof Promise ? await isAdmitted : isAdmitted)) return;
  const entered = createEnteredRequest(options, exchange, routed);
  const admission = admit(options, entered);
  if (admission === undefined) return;
  if (exchange.expectsContinue) exchange.response.writeContinue();
  const bodyBytes = routed.table.limits.bodyBytes;
  const body = await readRequestBody(exchange.request, bodyBytes);
  if (body.kind === 'too-large') {
    responder.reject(exchange, 413, 'body-too-large');
    return;
  }
  if (body.kind === 'broken') return;
  // Too late for a response before the node stops, with its body or by what it takes.
  const {stop, attempts} = options;
  const expectedMillis = stop.isStopping
    ? attempts.likelyMillis(entered)
    : undefined;
  if (refuseIfStopping(options, exchange, routed, expectedMillis)) return;
  if (!beginOrder(options, entered)) return;
  const headers = headersFor(
    options.wireHeaders,
    entered,
    routed.table,
    dropped,
  );
  await serve(options, entered, {admission, headers, body: body.bytes});
}

/** Returns true and refuses the request if this node is stopping and accepts no more. */
function refuseIfStopping(
  {stop, responder}: OutboundOptions,
  exchange: HttpExchange,
  {attemptId, route, isLocal, parent}: RoutedRequest,
  expectedMillis?: number,
): boolean {
  const isFromUpstream = isLocal || parent !== undefined;
  if (stop.accepts({isFromUpstream, expectedMillis})) return false;
  responder.refuseDuringStop(exchange, {attemptId, route});
  return true;
}

/** Returns false and refuses the request if its organisation is over its quota. */
function checkQuota(
  {quotas, responder}: OutboundOptions,
  exchange: HttpExchange,
  {attemptId, route, organisation}: RoutedRequest,
): boolean | Promise<boolean> {
  if (organisation === undefined) return true;
  const applyDecision = (decision: QuotaDecision): boolean => {
    if (decision.kind === 'admitted') return true;
    responder.refuseOverQuota(exchange, {attemptId, route, decision});
    return false;
  };
  const decided = quotas.decide(organisation, route.rank);
  return decided instanceof Promise
    ? decided.then(applyDecision)
    : applyDecision(decided);
}

/** Headers to forward, with the organisation in place of the API key. */
function headersFor(
  wireHeaders: WireHeaders,
  {exchange, origin}: EnteredRequest,
  {organisations}: RouteTable,
  dropped: DroppedHeaders,
): readonly string[] {
  const {rawHeaders} = exchange.request;
  if (organisations === undefined) {
    return forwardedHeaders(rawHeaders, dropped.ownHeaders);
  }
  const headers = forwardedHeaders(rawHeaders, dropped.withKeys);
  const {organisationName} = origin;
  if (organisationName === undefined) return headers;
  return [...headers, wireHeaders.organisation, organisationName];
}

/**
 * Returns why a request is admitted; sheds a client's request and returns `undefined` if a
 * service on its path sheds this importance.
 */
function admit(
  options: OutboundOptions,
  entered: EnteredRequest,
): Admission | undefined {
  const {route, service, origin} = entered;
  options.budget.recordRequest(new Map([[service, 1]]));
  if (entered.parent !== undefined) return 'regular';
  const target = targetOf(entered);
  const tree = options.trees.callCountsOf(target);
  const candidate = {
    importance: origin.importance,
    attemptId: entered.attemptId,
  };
  const shedCause = options.entryAdmission.shedCause(candidate, service, tree);
  const isProbe =
    shedCause !== undefined &&
    mayBeOutdated(shedCause, service) &&
    options.treeProbes.tryProbe(target);
  const cause = isProbe
    ? undefined
    : (shedCause ?? throttleCause(options, entered));
  if (cause === undefined) {
    options.budget.recordExpectedCalls(downstreamCallCounts(tree, service));
    if (isProbe) options.onProbe(entered, shedCause);
    return isProbe ? 'probe' : 'regular';
  }
  if (cause.reason === 'overload') options.loadPoller.recordShed(cause.service);
  options.responder.shed(entered.exchange, {
    attemptId: entered.attemptId,
    route,
    cause,
    importance: origin.importance,
    arrivedMillis: entered.arrivedMillis,
  });
  return undefined;
}

/** Whether a request is shed for a service that the requests of its route may no longer call. */
function mayBeOutdated(cause: ShedCause, service: string): boolean {
  return cause.reason === 'no-upstream' && cause.service !== service;
}

/** Sheds a client's request if few requests of its route complete. */
function throttleCause(
  {completionThrottle}: OutboundOptions,
  {route, service, origin}: EnteredRequest,
): ShedCause | undefined {
  return completionThrottle.admits(route.name, origin.importance)
    ? undefined
    : {service, reason: 'rarely-completed'};
}

/** What an admitted request is served with. */
interface ServedParts {
  readonly admission: Admission;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

async function serve(
  options: OutboundOptions,
  entered: EnteredRequest,
  {admission, headers, body}: ServedParts,
): Promise<void> {
  const {exchange, route, service, parent, organisation} = entered;
  const source = createCancelSource<CancelCause>();
  if (organisation !== undefined) options.quotas.recordRan(organisation);
  options.open.add(entered, source);
  const cancelListener = exchange.cancel.onCancel(source.cancel);
  const timer = startDeadline(options, entered, source);
  const call = createCall(options, entered, {headers, body, source});
  const attempted = await options.attempts.run({route, service, call});
  clearTimeout(timer);
  cancelListener.dispose();
  options.open.delete(entered);
  const result = await completeResponse(
    options.unframedBodies,
    entered,
    attempted,
  );
  recordOutcome(options, entered, result, admission);
  if (!result.mayHaveRun) {
    options.startedOrders.release(entered.attemptId);
    if (organisation !== undefined) options.quotas.recordNotRun(organisation);
  }
  if (parent !== undefined) reportToParent(parent, service, result);
  if (exchange.cancel.isCancelled) {
    options.responder.recordClientLeft(entered, result);
    return;
  }
  options.responder.sendResult(entered, result);
}

function startDeadline(
  options: OutboundOptions,
  entered: EnteredRequest,
  source: RequestCancelSource,
): NodeJS.Timeout {
  const leftMillis = entered.deadlineMillis - options.nowMillis();
  return setTimeout(
    () => {
      source.cancel('deadline');
    },
    Math.max(0, leftMillis),
  );
}

interface CallParts {
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly source: RequestCancelSource;
}

function createCall(
  options: OutboundOptions,
  entered: EnteredRequest,
  parts: CallParts,
): ExecutionCall {
  const {route, enteredMillis, deadlineMillis} = entered;
  const {request} = entered.exchange;
  const waitMillis =
    entered.parent === undefined
      ? route.objectiveMillis * MAX_SLOT_WAIT_RATIO
      : route.timeoutMillis;
  return {
    attemptId: entered.attemptId,
    callerService: options.ownService(),
    method: request.method ?? 'GET',
    target: request.url ?? '/',
    headers: parts.headers,
    body: parts.body,
    isRepeatable: route.repeat === 'repeatable',
    origin: entered.origin,
    deadlineMillis,
    startByMillis: Math.min(deadlineMillis, enteredMillis + waitMillis),
    cancel: parts.source.signal,
  };
}

function reportToParent(
  parent: InFlightParent,
  service: string,
  result: AttemptsResult,
): void {
  const {lastResult} = result;
  parent.addCalls(new Map([[service, 1]]));
  if (lastResult.kind === 'answered') {
    parent.addCalls(lastResult.calls);
    if (lastResult.answer.statusCode >= 500) parent.markFailedCall();
  } else {
    parent.markFailedCall();
  }
}
