/**
 * Executes requests at the upstream of this host: waits for a slot, dispatches the
 * request, and returns its result.
 */
import type {ExecutionResult} from '../connection/execution.js';
import {refusalEvidence} from '../connection/execution.js';
import type {UpstreamResult} from '../connection/upstream_result.js';
import type {AdmissionLevel} from '../process/admission/admission_level.js';
import {shedPositionOf} from '../process/admission/importance.js';
import type {
  InFlightParent,
  InFlightParents,
} from '../process/retries/in_flight_parents.js';
import type {RejectionRate} from '../process/admission/rejection_rate.js';
import type {RelativeSlowness} from '../process/placement/relative_slowness.js';
import type {UpstreamQueue} from '../process/admission/upstream_queue.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {CrashDetector, DispatchedRequest} from './crash_detector.js';
import type {CrashQuarantine} from './crash_quarantine.js';
import type {LocalCall} from './local_call.js';
import {waitForSlot} from './slot_wait.js';
import type {
  UpstreamDispatch,
  UpstreamDispatchOptions,
} from './upstream_dispatch.js';
import {createUpstreamDispatch} from './upstream_dispatch.js';

/** Executes requests. */
export interface LocalExecution {
  execute(call: LocalCall): Promise<ExecutionResult>;
}

/** Dependencies of local execution. */
export interface LocalExecutionOptions extends UpstreamDispatchOptions {
  readonly queue: UpstreamQueue;
  readonly level: AdmissionLevel;
  readonly rejections: RejectionRate;
  readonly slowness: RelativeSlowness;
  readonly parents: InFlightParents;
  readonly crashes: CrashDetector;
  readonly quarantine: CrashQuarantine;
}

/** Requests with less time left are not dispatched. */
const MIN_LEFT_MILLIS = 8;

/** Creates the local execution of a node. */
export function createLocalExecution(
  options: LocalExecutionOptions,
): LocalExecution {
  const dispatcher = createUpstreamDispatch(options);
  return {execute: call => execute(options, dispatcher, call)};
}

async function execute(
  options: LocalExecutionOptions,
  dispatcher: UpstreamDispatch,
  call: LocalCall,
): Promise<ExecutionResult> {
  const {upstream, queue, level, nowMillis} = options;
  const refusal = upstream.refusalFor(call.upstreamId);
  if (refusal !== undefined) return refused(refusal);
  const position = shedPositionOf(call.origin.importance);
  level.recordArrival(position, queue.load().averageMillis);
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
  if (body === undefined) {
    return refuseAndReleaseSlot(options, call.cancel.cause ?? 'cancelled');
  }
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
    dispatcher.dispatch(call, body),
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
  return call.cancel.cause;
}

function refuseAndReleaseSlot(
  {queue}: LocalExecutionOptions,
  reason: HopReason,
): ExecutionResult {
  queue.releaseUnused();
  return refused(reason);
}

/** Releases the slot and records the result in the load statistics. */
function recordResult(
  options: LocalExecutionOptions,
  call: LocalCall,
  result: UpstreamResult,
  heldMillis: number,
): void {
  const {queue, upstream, slowness, nowMillis} = options;
  if (result.kind === 'answered') queue.release(heldMillis);
  else queue.releaseWithoutSample();
  if (result.kind === 'answered') {
    upstream.markAnswered(call.upstreamId, nowMillis() - heldMillis);
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
