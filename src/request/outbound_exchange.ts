/**
 * Requests that enter at this host: from its clients, and from its upstream,
 * which calls deeper into the graph.
 */
import type {CancelSource} from '../base/cancel_signal.js';
import {createCancelSource} from '../base/cancel_signal.js';
import type {ExecutionCall} from '../connection/execution.js';
import type {Exchange} from '../connection/node_listener.js';
import {passedOnHeaders} from '../connection/raw_headers.js';
import {readRequestBody} from '../connection/request_body.js';
import type {CallTrees} from '../process/admission/call_trees.js';
import {callsBelow} from '../process/admission/call_trees.js';
import type {ConfigurationHolder} from '../process/membership/configuration_holder.js';
import type {EntryGate} from '../process/admission/entry_gate.js';
import type {
  InFlightParent,
  InFlightParents,
} from '../process/repeats/in_flight_parents.js';
import type {LoadQuestions} from '../process/admission/load_questions.js';
import type {RepeatBudget} from '../process/repeats/repeat_budget.js';
import type {
  QuotaDecision,
  QuotaExchange,
} from '../process/quota/quota_exchange.js';
import type {StopPlan} from '../process/stop/stop_plan.js';
import type {WeightedTargets} from '../process/placement/weighted_targets.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import type {RouteTable} from '../version/route_table.js';
import type {AttemptsEnd, Attempts} from './attempts.js';
import type {EntryAnswers} from './entry_answers.js';
import type {EnteredRequest} from './entered_request.js';
import {enterRequest} from './entered_request.js';
import type {OpenRequests} from './open_requests.js';
import {CREDENTIALS_HEADER} from './credentials.js';
import type {RoutedRequest} from './entered_request.js';
import {routeRequest} from './request_routing.js';

/** Answers requests that enter here. */
export interface OutboundExchanges {
  /** Requests of clients, and of the upstream where it has no other way in. */
  handle(exchange: Exchange): Promise<void>;
  /** Requests that only the upstream of this host can have sent. */
  handleLocal(exchange: Exchange): Promise<void>;
}

/** What it needs. */
export interface OutboundOptions {
  readonly names: WireHeaders;
  readonly ownService: () => string;
  readonly configuration: ConfigurationHolder;
  readonly gate: EntryGate;
  readonly questions: LoadQuestions;
  readonly targets: WeightedTargets;
  readonly trees: CallTrees;
  readonly budget: RepeatBudget;
  readonly quotas: QuotaExchange;
  readonly parents: InFlightParents;
  readonly stop: StopPlan;
  readonly attempts: Attempts;
  readonly answers: EntryAnswers;
  readonly open: OpenRequests;
  readonly nowMillis: () => number;
}

/**
 * Share of a route's objective that a client's request may wait for a slot:
 * held longer, it can hardly be answered in time, and the client would come
 * back too late as well.
 */
const WAIT_RATIO = 0.25;

/** Creates the entry of one node. */
export function createOutboundExchanges(
  options: OutboundOptions,
): OutboundExchanges {
  const {names} = options;
  const ownHeaders: ReadonlySet<string> = new Set([
    names.timeoutMillis,
    names.expectedUpstreamId,
    names.callerService,
    ...(names.isAttemptIdRequired ? [] : [names.attemptId]),
  ]);
  const dropped = {
    ownHeaders,
    withKeys: new Set([...ownHeaders, CREDENTIALS_HEADER, names.organisation]),
  };
  return {
    handle: exchange => handle(options, exchange, {dropped, isLocal: false}),
    handleLocal: exchange =>
      handle(options, exchange, {dropped, isLocal: true}),
  };
}

/** Lower-case names of headers that are not passed on. */
interface DroppedHeaders {
  /** Those that nodes set and others may not. */
  readonly ownHeaders: ReadonlySet<string>;
  /** Where clients send API keys, these and the organisation as well. */
  readonly withKeys: ReadonlySet<string>;
}

/** How a request came in. */
interface EntryWay {
  readonly dropped: DroppedHeaders;
  readonly isLocal: boolean;
}

async function handle(
  options: OutboundOptions,
  exchange: Exchange,
  {dropped, isLocal}: EntryWay,
): Promise<void> {
  const {answers} = options;
  const routed = routeRequest(options, exchange, isLocal);
  if (routed === undefined || isRefusedLate(options, exchange, routed)) return;
  const isWithin = isWithinQuota(options, exchange, routed);
  if (!(isWithin instanceof Promise ? await isWithin : isWithin)) return;
  const entered = enterRequest(options, exchange, routed);
  if (!passesGate(options, entered)) return;
  if (exchange.isBodyHeldBack) exchange.response.writeContinue();
  const bodyBytes = routed.table.limits.bodyBytes;
  const body = await readRequestBody(exchange.request, bodyBytes);
  if (body.kind === 'too-large') {
    answers.reject(exchange, 413, 'body-too-large');
    return;
  }
  if (body.kind === 'broken') return;
  // Its body may have come so late that the answer would not come any more.
  if (isRefusedLate(options, exchange, routed)) return;
  const headers = headersFor(options.names, entered, routed.table, dropped);
  await serve(options, entered, headers, body.bytes);
}

/** Refuses a request that comes to a node which stops and takes nothing more. */
function isRefusedLate(
  {stop, answers}: OutboundOptions,
  exchange: Exchange,
  {attemptId, route, isLocal, parent}: RoutedRequest,
): boolean {
  if (stop.takes({isUpstreams: isLocal || parent !== undefined})) return false;
  answers.refuseLate(exchange, {attemptId, route});
  return true;
}

/** Refuses a request whose organisation is over its quota. */
function isWithinQuota(
  {quotas, answers}: OutboundOptions,
  exchange: Exchange,
  {attemptId, route, organisation}: RoutedRequest,
): boolean | Promise<boolean> {
  if (organisation === undefined) return true;
  const settle = (decision: QuotaDecision): boolean => {
    if (decision.kind === 'admitted') return true;
    answers.refuseOverQuota(exchange, {attemptId, route, decision});
    return false;
  };
  const decided = quotas.decide(organisation, route.rank);
  return decided instanceof Promise ? decided.then(settle) : settle(decided);
}

/** Fields to pass on, with the organisation in place of the API key. */
function headersFor(
  names: WireHeaders,
  {exchange, origin}: EnteredRequest,
  {organisations}: RouteTable,
  dropped: DroppedHeaders,
): readonly string[] {
  const {rawHeaders} = exchange.request;
  if (organisations === undefined) {
    return passedOnHeaders(rawHeaders, dropped.ownHeaders);
  }
  const headers = passedOnHeaders(rawHeaders, dropped.withKeys);
  const {organisationName} = origin;
  if (organisationName === undefined) return headers;
  return [...headers, names.organisation, organisationName];
}

/** Turns a client's request away if a service on its way sheds its like. */
function passesGate(
  options: OutboundOptions,
  entered: EnteredRequest,
): boolean {
  const {route, service, origin} = entered;
  options.budget.recordRequest(new Map([[service, 1]]));
  if (entered.parent !== undefined) return true;
  const tree = options.trees.countsOf(route.name);
  const gated = {
    importance: origin.importance,
    attemptId: entered.attemptId,
  };
  const cause = options.gate.shedCause(gated, service, tree);
  if (cause === undefined) {
    options.budget.recordExpected(callsBelow(tree, service));
    return true;
  }
  if (cause.reason === 'overload') options.questions.noteShed(cause.service);
  options.answers.shed(entered.exchange, {
    attemptId: entered.attemptId,
    route,
    cause,
    importance: origin.importance,
    arrivedMillis: entered.arrivedMillis,
  });
  return false;
}

async function serve(
  options: OutboundOptions,
  entered: EnteredRequest,
  headers: readonly string[],
  body: Buffer,
): Promise<void> {
  const {exchange, route, service, parent, organisation} = entered;
  const source = createCancelSource();
  if (organisation !== undefined) options.quotas.recordRan(organisation);
  options.open.add(entered, source);
  const left = exchange.cancel.onCancel(source.cancel);
  const timer = startDeadline(options, entered, source);
  const call = createCall(options, entered, {headers, body, source});
  const end = await options.attempts.run({route, service, call});
  clearTimeout(timer);
  left.dispose();
  options.open.delete(entered);
  learn(options, entered, end);
  if (organisation !== undefined && !end.mayHaveRun) {
    options.quotas.takeBack(organisation);
  }
  if (parent !== undefined) reportToParent(parent, service, end);
  if (exchange.cancel.isCancelled) {
    options.answers.noteLeft(entered, end);
    return;
  }
  options.answers.finish(entered, end);
}

function startDeadline(
  options: OutboundOptions,
  entered: EnteredRequest,
  source: CancelSource,
): NodeJS.Timeout {
  const leftMillis = entered.deadlineMillis - options.nowMillis();
  return setTimeout(source.cancel, Math.max(0, leftMillis));
}

interface CallParts {
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly source: CancelSource;
}

function createCall(
  options: OutboundOptions,
  entered: EnteredRequest,
  parts: CallParts,
): ExecutionCall {
  const {route, arrivedMillis, deadlineMillis} = entered;
  const {request} = entered.exchange;
  const waitMillis =
    entered.parent === undefined
      ? route.objectiveMillis * WAIT_RATIO
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
    startByMillis: Math.min(deadlineMillis, arrivedMillis + waitMillis),
    cancel: parts.source.signal,
  };
}

/** Learns the tree of calls from what the upstream answered. */
function learn(
  options: OutboundOptions,
  entered: EnteredRequest,
  end: AttemptsEnd,
): void {
  const {last} = end;
  if (last.kind !== 'answered') return;
  const counts = new Map(last.calls);
  counts.set(entered.service, (counts.get(entered.service) ?? 0) + 1);
  const {name} = entered.route;
  if (last.answer.statusCode < 300) options.trees.observe(name, counts);
  else if (last.hasFailedCall) options.trees.observeFailed(name, counts);
}

function reportToParent(
  parent: InFlightParent,
  service: string,
  end: AttemptsEnd,
): void {
  const {last} = end;
  parent.addCalls(new Map([[service, 1]]));
  if (last.kind === 'answered') {
    parent.addCalls(last.calls);
    if (last.answer.statusCode >= 500) parent.markFailedCall();
  } else {
    parent.markFailedCall();
  }
}
