/**
 * Counts and logs the attempts of requests that were not answered.
 */
import type {ExecutionResult} from '../connection/execution.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import type {NodeMetrics} from '../process/log/node_metrics.js';
import type {CancelCause} from '../protocol/cancel_cause.js';
import type {EndedAttempt} from '../request/attempt_runner.js';
import type {AttemptedRequest} from '../request/attempted_request.js';
import type {LocalCall} from '../request/local_call.js';
import type {NodeComponents} from './node_components.js';

/** Counts an attempt that was refused or whose outcome is unknown. */
export function countAttempt(
  metrics: NodeMetrics,
  {request, result}: EndedAttempt,
): void {
  if (result.kind === 'refused') {
    metrics.recordRefusal(result.reason);
    if (request.call.isRepeatable) return;
    metrics.recordNotRunEvidence(result.evidence);
  } else if (result.kind === 'unknown') {
    metrics.recordUnknownOutcome(result.reason);
  }
}

/** Logs why a request that must not be repeated may be offered again. */
export function logNotRun(
  log: DecisionLog,
  {request, result, entry}: EndedAttempt,
): void {
  if (request.call.isRepeatable || result.kind !== 'refused') return;
  log.logRequestEvent('order-not-run', {
    requestId: request.call.attemptId,
    route: request.route.name,
    upstream: entry.id,
    host: entry.hostKey,
    reason: result.reason,
    evidence: result.evidence,
  });
}

/** Logs that a request is sent to another upstream. */
export function logRetry(
  log: DecisionLog,
  request: AttemptedRequest,
  reason: string,
): void {
  log.logRequestEvent('retry', {
    requestId: request.call.attemptId,
    route: request.route.name,
    service: request.service,
    reason,
  });
}

/** Dependencies of `logCancelledRun`. */
export interface CancelledRunOptions {
  readonly log: DecisionLog;
  readonly metrics: NodeMetrics;
  readonly nowMillis: () => number;
}

/** Logs and counts a request that was cancelled while the local upstream ran it. */
export function logCancelledRun(
  {log, metrics, nowMillis}: CancelledRunOptions,
  {attemptId, origin, upstreamId, deadlineMillis}: LocalCall,
  cause: CancelCause,
): void {
  metrics.recordCancelledRun(cause);
  log.logRequestEvent('run-cancelled', {
    requestId: attemptId,
    rootId: origin.rootId,
    upstream: upstreamId,
    cause,
    leftMillis: Math.round(deadlineMillis - nowMillis()),
  });
}

/** Logs a forwarded request that ended without a response from the local upstream. */
export function logNotExecuted(
  log: DecisionLog,
  {queue, level}: Pick<NodeComponents, 'queue' | 'level'>,
  call: LocalCall,
  result: ExecutionResult,
): void {
  if (result.kind === 'answered') return;
  log.logRequestEvent('not-executed', {
    requestId: call.attemptId,
    rootId: call.origin.rootId,
    outcome: result.kind,
    reason: result.reason,
    ...queue.load(),
    admissionLevel: level.level(),
  });
}
