/**
 * Decides whether a request may be sent to another upstream: it was not executed, or may
 * be executed more than once, and the retry budget has room.
 */
import type {ExecutionResult} from '../connection/execution.js';
import {LEAST_IMPORTANT} from '../process/admission/importance.js';
import type {CallCounts, CallTrees} from '../process/admission/call_trees.js';
import {attemptCallCounts} from '../process/admission/call_trees.js';
import type {LoadTable} from '../process/admission/load_table.js';
import type {RetryBudget} from '../process/retries/retry_budget.js';
import type {AttemptedRequest} from './attempted_request.js';
import {ISOLATED_CRASHES_COUNT} from './crash_quarantine.js';
import type {ReplacementCause} from './replaceable_attempt.js';

/** Retry rules of a node. */
export interface RetryRules {
  /**
   * Whether to retry after an attempt; charges the retry to the budget. `ranCount` is the
   * number of upstreams that may have executed the request.
   */
  mayRetry(
    request: AttemptedRequest,
    result: ExecutionResult,
    ranCount: number,
  ): boolean;
  /**
   * Whether another attempt may replace one without a response; charges the retry to the
   * budget.
   */
  mayReplaceAttempt(
    request: AttemptedRequest,
    ranCount: number,
    cause: ReplacementCause,
  ): boolean;
}

/** Dependencies of the rules. */
export interface RetryRulesOptions {
  readonly budget: RetryBudget;
  readonly trees: CallTrees;
  readonly loadTable: LoadTable;
  readonly nowMillis: () => number;
}

/** Minimum time left for another attempt. */
const MIN_LEFT_MILLIS = 20;

/** Creates the retry rules of a node. */
export function createRetryRules(options: RetryRulesOptions): RetryRules {
  const {budget, trees, loadTable, nowMillis} = options;

  const leftMillis = ({call}: AttemptedRequest): number =>
    call.deadlineMillis - nowMillis();

  const expectedCalls = ({route, service}: AttemptedRequest): CallCounts =>
    attemptCallCounts(
      trees.callCountsOf({routeName: route.name, service}),
      service,
    );

  /** Nested retries multiply, so a request that is itself part of a retry is not retried. */
  const tryTakeRetry = (
    request: AttemptedRequest,
    counts: CallCounts,
    tryTake = budget.tryTake,
  ): boolean => {
    const {grant, isRepeat} = request.call.origin;
    if (isRepeat || grant.remaining() < 1) return false;
    return tryTake(counts) && grant.trySpend();
  };

  const isSaturated = (counts: CallCounts): boolean => {
    for (const service of counts.keys()) {
      if (loadTable.levelOf(service) < LEAST_IMPORTANT) return true;
    }
    return false;
  };

  /**
   * A request to a node that stopped replying most likely never arrived. Its retry does
   * not use the request's retry grant, and may use all that is left of the budget, but no
   * more: a node that is merely too busy to reply has received the request.
   */
  const tryTakeSilentRetry = (request: AttemptedRequest): boolean =>
    budget.tryTakeReserved(expectedCalls(request));

  const mayRetryExecuted = (
    request: AttemptedRequest,
    result: ExecutionResult,
  ): boolean =>
    result.kind === 'unknown' && result.reason === 'silent'
      ? tryTakeSilentRetry(request)
      : tryTakeRetry(request, expectedCalls(request));

  /**
   * A request that an upstream rejected was not executed, so it may be sent to more
   * upstreams than the route's maximum number of attempts.
   */
  const mayRetryRejected = (request: AttemptedRequest): boolean =>
    tryTakeRetry(request, expectedCalls(request), budget.tryTakePaced);

  /** A different upstream received the request, so the next attempt is charged as a retry. */
  const mayRetryMisdirected = (request: AttemptedRequest): boolean =>
    budget.tryTake(expectedCalls(request));

  return {
    mayRetry: (request, result, ranCount) => {
      const {call, route} = request;
      if (call.cancel.isCancelled) return false;
      if (leftMillis(request) < MIN_LEFT_MILLIS) return false;
      if (result.kind === 'refused') {
        if (result.reason === 'quarantined') return false;
        if (result.reason === 'misdirected') {
          return mayRetryMisdirected(request);
        }
        return !wasDispatched(result) || mayRetryRejected(request);
      }
      if (!isWorthRetrying(result, request)) return false;
      if (mayCrashAgain(result)) return false;
      if (ranCount >= route.maxAttemptsCount) return false;
      return mayRetryExecuted(request, result);
    },
    mayReplaceAttempt: (request, ranCount, cause) => {
      const {call, route} = request;
      if (!call.isRepeatable || ranCount + 1 >= route.maxAttemptsCount) {
        return false;
      }
      if (leftMillis(request) < MIN_LEFT_MILLIS) return false;
      if (cause === 'silent') return tryTakeSilentRetry(request);
      const counts = expectedCalls(request);
      // Retrying a service that is slow because it is overloaded adds to its load.
      if (cause === 'timeout' && isSaturated(counts)) return false;
      return tryTakeRetry(request, counts);
    },
  };
}

/** Whether the upstream received the request, executed or not. */
export function wasDispatched(result: ExecutionResult): boolean {
  if (result.kind !== 'refused') return true;
  return result.reason === 'not-executed' || result.reason === 'misdirected';
}

/** Each retry of a request that may have caused several crashes risks another upstream. */
function mayCrashAgain(result: ExecutionResult): boolean {
  if (result.kind !== 'unknown') return false;
  return (result.crashesCount ?? 0) >= ISOLATED_CRASHES_COUNT;
}

/** Only failures of the upstream itself are retried: a failed downstream call would fail again. */
function isWorthRetrying(
  result: Exclude<ExecutionResult, {readonly kind: 'refused'}>,
  request: AttemptedRequest,
): boolean {
  if (!request.call.isRepeatable) return false;
  if (result.kind === 'unknown') return !result.hasFailedCall;
  return result.answer.statusCode >= 500 && !result.hasFailedCall;
}
