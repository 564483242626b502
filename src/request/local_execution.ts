/**
 * Executes requests at the upstream of this host: waits for a slot, hands the
 * request over, and returns what came of it.
 */
import {createCancelSource} from '../base/cancel_signal.js';
import type {ExecutionCall, ExecutionResult} from '../connection/execution.js';
import type {
  UpstreamResult,
  UpstreamRequest,
  UpstreamSender,
} from '../connection/upstream_sender.js';
import type {CallTrees} from '../process/admission/call_trees.js';
import {attemptCallCounts, NO_CALLS} from '../process/admission/call_trees.js';
import type {AdmissionLevel} from '../process/admission/admission_level.js';
import type {
  InFlightParent,
  InFlightParents,
} from '../process/repeats/in_flight_parents.js';
import type {RejectionRate} from '../process/admission/rejection_rate.js';
import type {RepeatBudget} from '../process/repeats/repeat_budget.js';
import type {RelativeSlowness} from '../process/placement/relative_slowness.js';
import type {
  SlotRequest,
  UpstreamQueue,
} from '../process/admission/upstream_queue.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {CrashDetector, DispatchedRequest} from './crash_detector.js';
import type {CrashQuarantine} from './crash_quarantine.js';
import type {LocalUpstream} from './local_upstream.js';

/** A request to execute here. */
export interface LocalCall extends Omit<ExecutionCall, 'body'> {
  /** Id of the upstream that the sender chose. */
  readonly upstreamId: string;
  /** Fetches the body once a slot is held; `undefined` if the sender left. */
  readonly fetchBody: () => Buffer | undefined | Promise<Buffer | undefined>;
}

/** Executes requests. */
export interface LocalExecution {
  execute(call: LocalCall): Promise<ExecutionResult>;
}

/** What execution needs. */
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
  readonly budget: RepeatBudget;
  readonly trees: CallTrees;
  readonly ownService: () => string;
  readonly nowMillis: () => number;
  /** The upstream was handed the call and says that it is another one. */
  readonly onMisdirected?: (call: LocalCall, actualId?: string) => void;
}

/** Less time than this is not worth handing over. */
const MIN_LEFT_MILLIS = 8;

/** Creates the execution of one node. */
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
  const wait = waitForSlot(options, call);
  const waitEnd = typeof wait === 'string' ? wait : await wait;
  if (waitEnd !== 'started') return refused(waitEnd);
  const fetched = call.fetchBody();
  const body = fetched instanceof Promise ? await fetched : fetched;
  if (body === undefined) return refuseUnused(options, 'cancelled');
  const request = dispatchedRequest(call, body, nowMillis());
  const admission = options.quarantine.admit(request, {
    waitMillis: call.deadlineMillis - MIN_LEFT_MILLIS - nowMillis(),
    cancel: call.cancel,
  });
  const crashRefusal =
    admission instanceof Promise ? await admission : admission;
  if (crashRefusal !== undefined) return refuseUnused(options, crashRefusal);
  const late = lateReason(options, call);
  if (late !== undefined) {
    options.quarantine.end(request);
    return refuseUnused(options, late);
  }
  const startedMillis = nowMillis();
  const parent = options.parents.open(call.attemptId, call.origin);
  const {end, hasCrashed} = await observeCrash(options, request, () =>
    dispatchToCurrent(options, call, body),
  );
  parent.close();
  settle(options, call, end, nowMillis() - startedMillis);
  if (hasCrashed) return crashEnd(options, request, parent);
  return executionEnd(end, parent);
}

/** How the upstream ended a request, and whether it crashed under it. */
interface ObservedEnd {
  readonly end: UpstreamResult;
  readonly hasCrashed: boolean;
}

async function observeCrash(
  {crashes, quarantine}: LocalExecutionOptions,
  request: DispatchedRequest,
  run: () => Promise<UpstreamResult>,
): Promise<ObservedEnd> {
  crashes.begin(request);
  const end = await run();
  const verdict = crashes.end(request, end);
  const hasCrashed = typeof verdict === 'boolean' ? verdict : await verdict;
  quarantine.end(request, end);
  return {end, hasCrashed};
}

function crashEnd(
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

type WaitEnd = 'started' | 'queue-full' | 'too-late' | 'cancelled';

function waitForSlot(
  options: LocalExecutionOptions,
  call: LocalCall,
): Promise<WaitEnd> | WaitEnd {
  const {queue} = options;
  const {nowMillis} = options;
  let finish: (end: WaitEnd) => void = () => undefined;
  const startByMillis = Math.min(
    call.startByMillis,
    call.deadlineMillis - MIN_LEFT_MILLIS,
  );
  const slotRequest: SlotRequest = {
    importance: call.origin.importance,
    beganAtMillis: call.origin.rootBeganAtMillis,
    startByMillis,
    start: () => {
      finish('started');
    },
    expire: () => {
      finish('too-late');
    },
  };
  const verdict = queue.offer(slotRequest);
  if (verdict === 'started') return 'started';
  if (verdict === 'refused') return 'queue-full';
  return new Promise(resolve => {
    const cancelled = call.cancel.onCancel(() => {
      if (queue.withdraw(slotRequest)) finish('cancelled');
    });
    const timer = setTimeout(
      () => {
        if (queue.withdraw(slotRequest)) finish('too-late');
      },
      Math.max(0, startByMillis - nowMillis()),
    );
    finish = end => {
      clearTimeout(timer);
      cancelled.dispose();
      resolve(end);
    };
  });
}

/** Why a request that holds a slot must not be dispatched any more. */
function lateReason(
  {upstream, nowMillis}: LocalExecutionOptions,
  call: LocalCall,
): HopReason | undefined {
  const reason = upstream.leavingReason(call.upstreamId);
  if (reason !== undefined) return reason;
  if (call.deadlineMillis - nowMillis() < MIN_LEFT_MILLIS) return 'too-late';
  return call.cancel.isCancelled ? 'cancelled' : undefined;
}

function refuseUnused(
  {queue}: LocalExecutionOptions,
  reason: HopReason,
): ExecutionResult {
  queue.releaseWithoutSample();
  return refused(reason);
}

/**
 * Hands the request over; once more where the upstream says that it has started
 * again under another id. Until the new entry is published, all requests of the
 * service would else fail: half of those that were lost in the four seconds after
 * a loss of power.
 */
async function dispatchToCurrent(
  options: LocalExecutionOptions,
  call: LocalCall,
  body: Buffer,
): Promise<UpstreamResult> {
  const {upstream} = options;
  const turn = upstream.acquireDispatchTurn(call.upstreamId);
  if (turn instanceof Promise) await turn;
  const askedId = upstream.currentIdOf(call.upstreamId);
  const end = await dispatch(options, {...call, upstreamId: askedId}, body);
  if (end.kind !== 'not-run' || end.reason !== 'misdirected') return end;
  options.onMisdirected?.(call, end.actualId);
  upstream.markMisdirected(call.upstreamId, end.actualId);
  const currentId = upstream.currentIdOf(call.upstreamId);
  if (currentId === call.upstreamId || currentId === askedId) return end;
  if (!mayDispatchAgain(options, call, turn === 'first')) return end;
  return dispatch(options, {...call, upstreamId: currentId}, body);
}

/**
 * The second dispatch is an arrival beyond the first, which only this node knows
 * of. The first one for an id is charged without being asked, as there is one for
 * each start; those that a late denial has let through share the budget, and what
 * does not fit is left to its sender.
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

/** Hands the request over and ends it at its deadline at the latest. */
function dispatch(
  options: LocalExecutionOptions,
  call: LocalCall,
  body: Buffer,
): Promise<UpstreamResult> {
  const source = createCancelSource();
  const left = call.cancel.onCancel(source.cancel);
  const abandoned = options.upstream.onLost(source.cancel);
  const leftMillis = call.deadlineMillis - options.nowMillis();
  const timer = setTimeout(source.cancel, Math.max(0, leftMillis));
  const request: UpstreamRequest = {
    attemptId: call.attemptId,
    upstreamId: call.upstreamId,
    callerService: call.callerService,
    method: call.method,
    target: call.target,
    headers: call.headers,
    body,
    timeoutMillis: Math.max(1, Math.floor(leftMillis)),
    cancel: source.signal,
  };
  return new Promise(resolve => {
    options.sender.send(request, end => {
      clearTimeout(timer);
      left.dispose();
      abandoned.dispose();
      resolve(end);
    });
  });
}

/** Gives the slot back and learns from how the upstream did. */
function settle(
  options: LocalExecutionOptions,
  call: LocalCall,
  end: UpstreamResult,
  heldMillis: number,
): void {
  const {queue, upstream, slowness} = options;
  if (end.kind === 'answered') queue.release(heldMillis);
  else queue.releaseWithoutSample();
  if (end.kind === 'answered') {
    upstream.markAnswered(call.upstreamId);
    const {usualMillis} = call;
    if (usualMillis !== undefined) slowness.observe(heldMillis, usualMillis);
  }
  if (end.kind !== 'not-run') return;
  if (end.reason === 'unreachable') upstream.markUnreachable();
  else if (end.reason === 'not-executed') options.rejections.recordRejected();
}

function executionEnd(
  end: UpstreamResult,
  parent: InFlightParent,
): ExecutionResult {
  switch (end.kind) {
    case 'answered':
      return {
        kind: 'answered',
        answer: end.answer,
        calls: parent.calls,
        hasFailedCall: parent.hasFailedCall,
      };
    case 'not-run':
      return refused(end.reason);
    case 'unknown':
      return {
        kind: 'unknown',
        reason: end.reason,
        hasFailedCall: parent.hasFailedCall,
      };
  }
}

function refused(reason: HopReason): ExecutionResult {
  return {kind: 'refused', reason};
}
