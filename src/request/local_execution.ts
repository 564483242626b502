/**
 * Executes requests at the upstream of this host: waits for a slot, dispatches the
 * request, and returns its result.
 */
import {createCancelSource} from '../base/cancel_signal.js';
import type {ExecutionCall, ExecutionResult} from '../connection/execution.js';
import {refusalEvidence} from '../connection/execution.js';
import type {
  UpstreamResult,
  UpstreamRequest,
  UpstreamSender,
} from '../connection/upstream_sender.js';
import type {CallTrees} from '../process/admission/call_trees.js';
import {attemptCallCounts, NO_CALLS} from '../process/admission/call_trees.js';
import type {AdmissionLevel} from '../process/admission/admission_level.js';
import type {DispatchPacer} from '../process/admission/dispatch_pacer.js';
import type {
  InFlightParent,
  InFlightParents,
} from '../process/retries/in_flight_parents.js';
import type {RejectionRate} from '../process/admission/rejection_rate.js';
import type {RetryBudget} from '../process/retries/retry_budget.js';
import type {RelativeSlowness} from '../process/placement/relative_slowness.js';
import type {UpstreamQueue} from '../process/admission/upstream_queue.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {
  AnnouncementObserver,
  AnnouncementSource,
} from './announcement_observer.js';
import type {CrashDetector, DispatchedRequest} from './crash_detector.js';
import type {CrashQuarantine} from './crash_quarantine.js';
import type {LocalUpstream} from './local_upstream.js';
import {waitForSlot} from './slot_wait.js';

/** A request to execute at the local upstream. */
export interface LocalCall extends Omit<ExecutionCall, 'body'> {
  /** Id of the upstream that the sender chose. */
  readonly upstreamId: string;
  /** Fetches the body once a slot is held; `undefined` if the sender disconnected. */
  readonly fetchBody: () => Buffer | undefined | Promise<Buffer | undefined>;
}

/** Executes requests. */
export interface LocalExecution {
  execute(call: LocalCall): Promise<ExecutionResult>;
}

/** Dependencies of local execution. */
export interface LocalExecutionOptions {
  readonly upstream: LocalUpstream;
  readonly queue: UpstreamQueue;
  readonly level: AdmissionLevel;
  readonly rejections: RejectionRate;
  readonly slowness: RelativeSlowness;
  readonly parents: InFlightParents;
  readonly crashes: CrashDetector;
  readonly quarantine: CrashQuarantine;
  readonly sender: UpstreamSender;
  readonly budget: RetryBudget;
  readonly trees: CallTrees;
  readonly ownService: () => string;
  readonly nowMillis: () => number;
  readonly announcements: AnnouncementObserver;
  readonly pacer: Pick<DispatchPacer, 'takeUnchecked'>;
  /** Called when the upstream rejects a call because its id is a different one. */
  readonly onMisdirected?: (call: LocalCall, actualId?: string) => void;
}

/** Requests with less time left are not dispatched. */
const MIN_LEFT_MILLIS = 8;

/** Creates the local execution of a node. */
export function createLocalExecution(
  options: LocalExecutionOptions,
): LocalExecution {
  return {execute: call => execute(options, call)};
}

async function execute(
  options: LocalExecutionOptions,
  call: LocalCall,
): Promise<ExecutionResult> {
  const {upstream, queue, level, nowMillis} = options;
  const refusal = upstream.refusalFor(call.upstreamId);
  if (refusal !== undefined) return refused(refusal);
  level.recordArrival(call.origin.importance, queue.load().averageMillis);
  options.rejections.recordArrival();
  const wait = waitForSlot(options, {
    origin: call.origin,
    cancel: call.cancel,
    startByMillis: Math.min(
      call.startByMillis,
      call.deadlineMillis - MIN_LEFT_MILLIS,
    ),
  });
  const waitResult = typeof wait === 'string' ? wait : await wait;
  if (waitResult !== 'started') return refused(waitResult);
  const fetched = call.fetchBody();
  const body = fetched instanceof Promise ? await fetched : fetched;
  if (body === undefined) return refuseAndReleaseSlot(options, 'cancelled');
  const request = dispatchedRequest(call, body, nowMillis());
  const admission = options.quarantine.admit(request, {
    waitMillis: call.deadlineMillis - MIN_LEFT_MILLIS - nowMillis(),
    cancel: call.cancel,
  });
  const crashRefusal =
    admission instanceof Promise ? await admission : admission;
  if (crashRefusal !== undefined) {
    return refuseAndReleaseSlot(options, crashRefusal);
  }
  const lateRefusal = lateRefusalReason(options, call);
  if (lateRefusal !== undefined) {
    options.quarantine.end(request);
    return refuseAndReleaseSlot(options, lateRefusal);
  }
  const startedMillis = nowMillis();
  const parent = options.parents.open(call.attemptId, call.origin);
  const {result, hasCrashed} = await observeCrash(options, request, () =>
    dispatchToCurrent(options, call, body),
  );
  parent.close();
  recordResult(options, call, result, nowMillis() - startedMillis);
  if (hasCrashed) return crashResult(options, request, parent);
  return toExecutionResult(result, parent);
}

/** Result of a request at the upstream, and whether the upstream crashed during it. */
interface ObservedResult {
  readonly result: UpstreamResult;
  readonly hasCrashed: boolean;
}

async function observeCrash(
  {crashes, quarantine}: LocalExecutionOptions,
  request: DispatchedRequest,
  run: () => Promise<UpstreamResult>,
): Promise<ObservedResult> {
  crashes.begin(request);
  const result = await run();
  const crashCheck = crashes.end(request, result);
  const hasCrashed =
    typeof crashCheck === 'boolean' ? crashCheck : await crashCheck;
  quarantine.end(request, result);
  return {result, hasCrashed};
}

function crashResult(
  {quarantine}: LocalExecutionOptions,
  request: DispatchedRequest,
  {hasFailedCall}: InFlightParent,
): ExecutionResult {
  const crashesCount = quarantine.crashesCount(request);
  return {
    kind: 'unknown',
    reason: 'upstream-crashed',
    hasFailedCall,
    crashesCount,
  };
}

function dispatchedRequest(
  call: LocalCall,
  body: Buffer,
  startedMillis: number,
): DispatchedRequest {
  return {
    attemptId: call.attemptId,
    upstreamId: call.upstreamId,
    callerService: call.callerService,
    method: call.method,
    target: call.target,
    headers: call.headers,
    body,
    startedMillis,
  };
}

/** Why a request that holds a slot must no longer be dispatched. */
function lateRefusalReason(
  {upstream, nowMillis}: LocalExecutionOptions,
  call: LocalCall,
): HopReason | undefined {
  const reason = upstream.leavingReason(call.upstreamId);
  if (reason !== undefined) return reason;
  if (call.deadlineMillis - nowMillis() < MIN_LEFT_MILLIS) return 'too-late';
  return call.cancel.isCancelled ? 'cancelled' : undefined;
}

function refuseAndReleaseSlot(
  {queue}: LocalExecutionOptions,
  reason: HopReason,
): ExecutionResult {
  queue.releaseUnused();
  return refused(reason);
}

/**
 * Dispatches the request, and a second time if the upstream reports that it restarted
 * with another id. Without this, all requests to the service fail until the new entry is
 * published, which was half of the requests lost in the 4 s after a power loss.
 */
async function dispatchToCurrent(
  options: LocalExecutionOptions,
  call: LocalCall,
  body: Buffer,
): Promise<UpstreamResult> {
  const {upstream} = options;
  const turn = upstream.acquireDispatchTurn(call.upstreamId);
  if (turn instanceof Promise) await turn;
  const dispatchedId = upstream.currentIdOf(call.upstreamId);
  const result = await dispatch(
    options,
    {...call, upstreamId: dispatchedId},
    body,
  );
  if (result.kind !== 'not-run' || result.reason !== 'misdirected') {
    return result;
  }
  options.onMisdirected?.(call, result.actualId);
  upstream.markMisdirected(call.upstreamId, result.actualId);
  const currentId = upstream.currentIdOf(call.upstreamId);
  if (currentId === call.upstreamId || currentId === dispatchedId) {
    return result;
  }
  if (upstream.leavingReason(currentId) !== undefined) return result;
  if (!mayDispatchAgain(options, call, turn === 'first')) return result;
  options.pacer.takeUnchecked();
  return dispatch(options, {...call, upstreamId: currentId}, body);
}

/**
 * Charges a second dispatch to the retry budget, since only this node can count it. The
 * first one for an id is always allowed, as there is one per upstream start. Others, which
 * were dispatched before a late rejection, need room in the budget; without it the sender
 * gets the refusal and decides.
 */
function mayDispatchAgain(
  {budget, trees, ownService}: LocalExecutionOptions,
  {attemptId, origin}: LocalCall,
  isFirst: boolean,
): boolean {
  const isRoot = attemptId === origin.rootId;
  const tree = isRoot ? trees.callCountsOf(origin.rootRouteName) : NO_CALLS;
  const counts = attemptCallCounts(tree, ownService());
  if (!isFirst) return budget.tryTake(counts);
  budget.takeUnchecked(counts);
  return true;
}

/** Dispatches the request and cancels it at its deadline. */
function dispatch(
  options: LocalExecutionOptions,
  call: LocalCall,
  body: Buffer,
): Promise<UpstreamResult> {
  const source = createCancelSource();
  const cancelListener = call.cancel.onCancel(source.cancel);
  const lostListener = options.upstream.onLost(source.cancel);
  const sentMillis = options.nowMillis();
  const leftMillis = call.deadlineMillis - sentMillis;
  const timer = setTimeout(source.cancel, Math.max(0, leftMillis));
  const request: UpstreamRequest = {
    attemptId: call.attemptId,
    upstreamId: call.upstreamId,
    callerService: call.callerService,
    method: call.method,
    target: call.target,
    headers: call.headers,
    body,
    isRepeatable: call.isRepeatable,
    timeoutMillis: Math.max(1, Math.floor(leftMillis)),
    cancel: source.signal,
  };
  options.announcements.recordDispatch(call);
  return new Promise(resolve => {
    options.sender.send(request, result => {
      clearTimeout(timer);
      cancelListener.dispose();
      lostListener.dispose();
      observeAnnouncements(options.announcements, result, {
        upstreamId: call.upstreamId,
        sentMillis,
      });
      resolve(result);
    });
  });
}

function observeAnnouncements(
  observer: AnnouncementObserver,
  result: UpstreamResult,
  source: AnnouncementSource,
): void {
  if (result.kind === 'unknown') return;
  const {announcements} = result;
  if (announcements === undefined) return;
  const isMisdirected =
    result.kind === 'not-run' && result.reason === 'misdirected';
  observer.observe(
    announcements,
    isMisdirected ? {...source, upstreamId: result.actualId} : source,
  );
}

/** Releases the slot and records the result in the load statistics. */
function recordResult(
  options: LocalExecutionOptions,
  call: LocalCall,
  result: UpstreamResult,
  heldMillis: number,
): void {
  const {queue, upstream, slowness} = options;
  if (result.kind === 'answered') queue.release(heldMillis);
  else queue.releaseWithoutSample();
  if (result.kind === 'answered') {
    upstream.markAnswered(call.upstreamId);
    const {usualMillis} = call;
    if (usualMillis !== undefined) slowness.observe(heldMillis, usualMillis);
  }
  if (result.kind !== 'not-run') return;
  if (result.reason === 'unreachable') upstream.markUnreachable();
  else if (result.reason === 'not-executed') {
    options.rejections.recordRejected();
  }
}

function toExecutionResult(
  result: UpstreamResult,
  parent: InFlightParent,
): ExecutionResult {
  switch (result.kind) {
    case 'answered':
      return {
        kind: 'answered',
        answer: result.answer,
        calls: parent.calls,
        hasFailedCall: parent.hasFailedCall,
      };
    case 'not-run':
      return refused(result.reason);
    case 'unknown':
      return {
        kind: 'unknown',
        reason: result.reason,
        hasFailedCall: parent.hasFailedCall,
      };
  }
}

function refused(reason: HopReason): ExecutionResult {
  return {kind: 'refused', reason, evidence: refusalEvidence(reason)};
}
