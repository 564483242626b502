/**
 * The attempts of one request: choice of upstreams, and repeats where they are
 * proven harmless and within bounds.
 */
import type {ExecutionCall, ExecutionEnd} from '../connection/execution.js';
import type {RemoteExecution} from '../connection/remote_execution.js';
import type {CallCounts, CallTrees} from '../process/call_trees.js';
import type {AttemptEnd, PlacementChooser} from '../process/placement.js';
import type {RepeatBudget} from '../process/repeat_budget.js';
import type {UpstreamEntry} from '../process/upstream_entry.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {ServiceRoute} from '../version/route_configuration.js';
import type {LocalExecution} from './local_execution.js';

/** A request to be attempted. */
export interface AttemptedRequest {
  readonly route: ServiceRoute;
  readonly service: string;
  readonly call: ExecutionCall;
}

/** What came of all attempts together. */
export interface AttemptsEnd {
  readonly last: ExecutionEnd;
  /** Some attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Upstreams that were handed the request. */
  readonly sentCount: number;
  /** Id of the upstream of the last attempt. */
  readonly upstreamId: string | undefined;
}

/** Attempts requests. */
export interface Attempts {
  run(request: AttemptedRequest): Promise<AttemptsEnd>;
}

/** What attempts need. */
export interface AttemptsOptions {
  readonly hostKey: string;
  readonly placement: PlacementChooser;
  readonly local: LocalExecution;
  readonly remote: RemoteExecution;
  readonly budget: RepeatBudget;
  readonly trees: CallTrees;
  readonly nowMillis: () => number;
  readonly onAttempt: (end: ExecutionEnd) => void;
  readonly onRetry: (request: AttemptedRequest, reason: HopReason) => void;
}

/**
 * Upstreams that one request is offered to, refusals counted: beyond a few the
 * whole service is full, and each further question costs time.
 */
const MAX_OFFERS_COUNT = 4;

/** Refusals for load after which the service as a whole counts as full. */
const MAX_FULL_COUNT = 2;

/** Less time than this left is not worth another attempt. */
const MIN_LEFT_MILLIS = 20;

const NOWHERE: ExecutionEnd = {kind: 'refused', reason: 'unreachable'};

/** Creates the attempts of one node. */
export function createAttempts(options: AttemptsOptions): Attempts {
  return {run: request => runAttempts(options, request)};
}

async function runAttempts(
  options: AttemptsOptions,
  request: AttemptedRequest,
): Promise<AttemptsEnd> {
  const triedIds = new Set<string>();
  let mayHaveRun = false;
  let sentCount = 0;
  let fullCount = 0;
  let last: ExecutionEnd = NOWHERE;
  let upstreamId: string | undefined;
  let call = request.call;

  for (let offer = 1; offer <= MAX_OFFERS_COUNT; offer += 1) {
    const placement = options.placement.choose(
      request.service,
      triedIds,
      options.remote.isLost,
    );
    if (placement === undefined) break;
    const {entry} = placement.upstream;
    upstreamId = entry.id;
    triedIds.add(entry.id);
    last = await attemptAt(options, entry, call);
    placement.end(lessonOf(last));
    options.onAttempt(last);
    if (wasHandedOver(last)) sentCount += 1;
    if (mayRun(last)) mayHaveRun = true;
    if (last.kind === 'refused' && isFull(last.reason)) fullCount += 1;
    if (fullCount >= MAX_FULL_COUNT) break;
    if (!mayTryAgain(options, request, last, sentCount)) break;
    if (wasHandedOver(last)) {
      options.onRetry(request, reasonOf(last));
      call = {...call, origin: {...call.origin, isRepeat: true}};
    }
  }
  return {last, mayHaveRun, sentCount, upstreamId};
}

function attemptAt(
  options: AttemptsOptions,
  entry: UpstreamEntry,
  call: ExecutionCall,
): Promise<ExecutionEnd> {
  if (entry.hostKey !== options.hostKey) {
    return options.remote.execute(entry, call);
  }
  return options.local.execute({
    ...call,
    upstreamId: entry.id,
    fetchBody: () => Promise.resolve(call.body),
  });
}

function mayTryAgain(
  options: AttemptsOptions,
  request: AttemptedRequest,
  end: ExecutionEnd,
  sentCount: number,
): boolean {
  const {call, route} = request;
  if (call.cancel.isCancelled) return false;
  if (call.deadlineMillis - options.nowMillis() < MIN_LEFT_MILLIS) return false;
  if (end.kind === 'refused') {
    if (!wasHandedOver(end)) return true;
  } else if (!isWorthRepeating(end, request)) {
    return false;
  }
  if (sentCount >= route.maxAttemptsCount) return false;
  return mayRepeat(options, request, end);
}

/**
 * What went to a node that then fell silent most likely never arrived. Grant
 * and budget bound what services receive, so the repeat costs no grant, and the
 * budget is charged without being asked.
 */
function mayRepeat(
  options: AttemptsOptions,
  request: AttemptedRequest,
  end: ExecutionEnd,
): boolean {
  const counts = expectedCalls(options, request);
  if (end.kind === 'unknown' && end.reason === 'silent') {
    options.budget.take(counts);
    return true;
  }
  // A repeat below a repeat multiplies; the one nearest the client decides.
  const {grant, isRepeat} = request.call.origin;
  if (isRepeat || grant.remaining() < 1) return false;
  return options.budget.tryTake(counts) && grant.trySpend();
}

/** Only a failure of the upstream itself: one below it would fail again. */
function isWorthRepeating(
  end: ExecutionEnd,
  request: AttemptedRequest,
): boolean {
  if (!request.call.isRepeatable) return false;
  if (end.kind === 'unknown') return !end.hasFailedCall;
  if (end.kind === 'refused') return true;
  return end.answer.statusCode >= 500 && !end.hasFailedCall;
}

function expectedCalls(
  options: AttemptsOptions,
  request: AttemptedRequest,
): CallCounts {
  const counts = new Map(options.trees.countsOf(request.route.name));
  counts.set(request.service, Math.max(1, counts.get(request.service) ?? 0));
  return counts;
}

/** The upstream received the request, whether it ran it or not. */
function wasHandedOver(end: ExecutionEnd): boolean {
  return end.kind !== 'refused' || end.reason === 'not-executed';
}

function mayRun(end: ExecutionEnd): boolean {
  return end.kind !== 'refused';
}

function isFull(reason: HopReason): boolean {
  return reason === 'queue-full' || reason === 'too-late';
}

function reasonOf(end: ExecutionEnd): HopReason {
  return end.kind === 'answered' ? 'none' : end.reason;
}

function lessonOf(end: ExecutionEnd): AttemptEnd {
  if (end.kind === 'answered') {
    if (end.answer.statusCode < 500) return 'served';
    return end.hasFailedCall ? 'neutral' : 'failed';
  }
  switch (end.reason) {
    case 'draining':
    case 'other-upstream':
    case 'unreachable':
    case 'silent':
      return 'unreachable';
    case 'not-executed':
    case 'broken-answer':
    case 'connection-lost':
      return 'failed';
    default:
      return 'neutral';
  }
}
