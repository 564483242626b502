/**
 * When a request may be sent to another upstream: it is proven not to have run,
 * or may run more than once, and the bounds on repeats leave room.
 */
import type {ExecutionResult} from '../connection/execution.js';
import {LEAST_IMPORTANT} from '../process/admission/importance.js';
import type {CallCounts, CallTrees} from '../process/admission/call_trees.js';
import {attemptCallCounts} from '../process/admission/call_trees.js';
import type {LoadTable} from '../process/admission/load_table.js';
import type {RepeatBudget} from '../process/repeats/repeat_budget.js';
import type {AttemptedRequest} from './attempted_request.js';
import {ISOLATED_CRASHES_COUNT} from './crash_quarantine.js';

/** Rules of one node. */
export interface RepeatRules {
  /**
   * Whether to go on after an attempt, with so many upstreams that may have
   * worked on it; takes the repeat from the bounds.
   */
  mayRetry(
    request: AttemptedRequest,
    end: ExecutionResult,
    ranCount: number,
  ): boolean;
  /**
   * Whether an attempt that has no answer yet may be given up for another one;
   * takes the repeat from the bounds.
   */
  mayAbandonAttempt(request: AttemptedRequest, ranCount: number): boolean;
}

/** What the rules need. */
export interface RepeatRulesOptions {
  readonly budget: RepeatBudget;
  readonly trees: CallTrees;
  readonly loadTable: LoadTable;
  readonly nowMillis: () => number;
}

/** Less time than this left is not worth another attempt. */
const MIN_LEFT_MILLIS = 20;

/** Creates the rules of one node. */
export function createRepeatRules(options: RepeatRulesOptions): RepeatRules {
  const {budget, trees, loadTable, nowMillis} = options;

  const leftMillis = ({call}: AttemptedRequest): number =>
    call.deadlineMillis - nowMillis();

  const expectedCalls = ({route, service}: AttemptedRequest): CallCounts =>
    attemptCallCounts(trees.callCountsOf(route.name), service);

  /** A repeat below a repeat multiplies; the one nearest the client decides. */
  const take = (
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
   * What went to a node that then fell silent most likely never arrived, so the
   * repeat costs no grant, and all that the bound leaves is there for it. Not
   * more: a node that is only too busy to reply has received it.
   */
  const mayRepeat = (
    request: AttemptedRequest,
    end: ExecutionResult,
  ): boolean => {
    const counts = expectedCalls(request);
    if (end.kind === 'unknown' && end.reason === 'silent') {
      return budget.tryTakeReserved(counts);
    }
    return take(request, counts);
  };

  /**
   * What an upstream rejected has not run, so that it may be handed to more of
   * them than a route's attempts.
   */
  const mayAskAgain = (request: AttemptedRequest): boolean =>
    take(request, expectedCalls(request), budget.tryTakePaced);

  /** Another upstream was handed it, which counts as an arrival. */
  const mayTurnElsewhere = (request: AttemptedRequest): boolean =>
    budget.tryTake(expectedCalls(request));

  return {
    mayRetry: (request, end, ranCount) => {
      const {call, route} = request;
      if (call.cancel.isCancelled) return false;
      if (leftMillis(request) < MIN_LEFT_MILLIS) return false;
      if (end.kind === 'refused') {
        if (end.reason === 'quarantined') return false;
        if (end.reason === 'misdirected') return mayTurnElsewhere(request);
        return !wasDispatched(end) || mayAskAgain(request);
      }
      if (!isWorthRepeating(end, request)) return false;
      if (mayCrashAgain(end)) return false;
      if (ranCount >= route.maxAttemptsCount) return false;
      return mayRepeat(request, end);
    },
    mayAbandonAttempt: (request, ranCount) => {
      const {call, route} = request;
      if (!call.isRepeatable || ranCount + 1 >= route.maxAttemptsCount) {
        return false;
      }
      const counts = expectedCalls(request);
      // What is slow because it has too much to do would get more to do.
      return !isSaturated(counts) && take(request, counts);
    },
  };
}

/** The upstream received the request, whether it ran it or not. */
export function wasDispatched(end: ExecutionResult): boolean {
  if (end.kind !== 'refused') return true;
  return end.reason === 'not-executed' || end.reason === 'misdirected';
}

/** Each retry of what may have caused several crashes costs another upstream. */
function mayCrashAgain(end: ExecutionResult): boolean {
  if (end.kind !== 'unknown') return false;
  return (end.crashesCount ?? 0) >= ISOLATED_CRASHES_COUNT;
}

/** Only a failure of the upstream itself: one below it would fail again. */
function isWorthRepeating(
  end: Exclude<ExecutionResult, {readonly kind: 'refused'}>,
  request: AttemptedRequest,
): boolean {
  if (!request.call.isRepeatable) return false;
  if (end.kind === 'unknown') return !end.hasFailedCall;
  return end.answer.statusCode >= 500 && !end.hasFailedCall;
}
