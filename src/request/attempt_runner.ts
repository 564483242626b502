/**
 * Runs the attempts of a request: chooses upstreams, and retries where a retry is known
 * to be safe and the retry budget allows it.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionCall, ExecutionResult} from '../connection/execution.js';
import type {RemoteExecution} from '../connection/remote_execution.js';
import type {AttemptTimeouts} from '../process/retries/attempt_timeouts.js';
import type {AttemptHistory} from '../process/retries/attempt_history.js';
import {createAttemptHistory} from '../process/retries/attempt_history.js';
import type {
  Placement,
  PlacementChooser,
} from '../process/placement/placement.js';
import type {StopPlan} from '../process/stop/stop_plan.js';
import type {UpstreamEntry} from '../process/membership/upstream_entry.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {AttemptedRequest} from './attempted_request.js';
import type {CrashQuarantine} from './crash_quarantine.js';
import type {LocalExecution} from './local_execution.js';
import type {ReplacementCause, RunningAttempt} from './replaceable_attempt.js';
import {startAttempt} from './replaceable_attempt.js';
import type {ReplacedAttempts} from './replaced_attempts.js';
import {
  createReplacedAttempts,
  discardResponse,
  isSuccess,
} from './replaced_attempts.js';
import {
  attemptOutcomeOf,
  isSilent,
  offerOutcomeOf,
  reasonOf,
} from './attempt_outcome.js';
import type {RetryRules} from './retry_rules.js';
import {wasDispatched} from './retry_rules.js';

/** Combined result of all attempts of a request. */
export interface AttemptsResult {
  readonly lastResult: ExecutionResult;
  /** At least one attempt may have been executed. */
  readonly mayHaveRun: boolean;
  /** Number of upstreams that received the request. */
  readonly sentCount: number;
  /** Id of the upstream of the last attempt. */
  readonly upstreamId: string | undefined;
}

/** Runs requests at upstreams until one attempt is final. */
export interface AttemptRunner {
  run(request: AttemptedRequest): Promise<AttemptsResult>;
  /** Time within which a request will most likely end; `undefined` if unknown. */
  likelyMillis(request: RoutedAttempt): number | undefined;
}

/** Route and service by which the times of attempts are learned. */
export type RoutedAttempt = Pick<AttemptedRequest, 'route' | 'service'>;

/** An attempt and its result. */
export interface EndedAttempt {
  readonly request: AttemptedRequest;
  readonly result: ExecutionResult;
  readonly entry: UpstreamEntry;
}

/** Dependencies of the attempt runner. */
export interface AttemptRunnerOptions {
  readonly hostKey: string;
  readonly placement: PlacementChooser;
  readonly local: LocalExecution;
  readonly remote: RemoteExecution;
  readonly rules: RetryRules;
  readonly quarantine: Pick<CrashQuarantine, 'holds'>;
  readonly attemptTimeouts: AttemptTimeouts;
  readonly stop: StopPlan;
  readonly nowMillis: () => number;
  readonly onAttempt: (attempt: EndedAttempt) => void;
  readonly onRetry: (request: AttemptedRequest, reason: HopReason) => void;
}

/** Longest wait for an unreachable node to be probed again and to reply. */
const REACHABLE_WAIT_MILLIS = 1000;

/** Poll interval while waiting for a node to reply. */
const REACHABLE_POLL_MILLIS = 50;

const NO_IDS: ReadonlySet<string> = new Set();

const UNREACHABLE: ExecutionResult = {
  kind: 'refused',
  reason: 'unreachable',
  evidence: 'not-sent',
};

const QUARANTINED: ExecutionResult = {
  kind: 'refused',
  reason: 'quarantined',
  evidence: 'not-sent',
};

/** Creates the attempt runner of a node. */
export function createAttemptRunner(
  options: AttemptRunnerOptions,
): AttemptRunner {
  return {
    run: request => runAttempts(options, request),
    likelyMillis: request =>
      options.attemptTimeouts.likelyMillis(timeoutKeyOf(request)),
  };
}

async function runAttempts(
  options: AttemptRunnerOptions,
  request: AttemptedRequest,
): Promise<AttemptsResult> {
  const history = createAttemptHistory();
  let replaced: ReplacedAttempts | undefined;
  let lastResult: ExecutionResult = UNREACHABLE;
  let upstreamId: string | undefined;
  let call = request.call;
  const {rules} = options;

  const hasSuccess = (): boolean => replaced?.success !== undefined;

  while (history.canOffer && !hasSuccess()) {
    if (options.quarantine.holds(request.call)) {
      if (history.ranCount === 0) lastResult = QUARANTINED;
      break;
    }
    const usualMillis = options.attemptTimeouts.usualMillis(
      timeoutKeyOf(request),
    );
    const placement = chooseNext(options, request, {history, usualMillis});
    if (placement === undefined) break;
    const {entry} = placement.upstream;
    upstreamId = entry.id;
    history.begin(entry.id);
    const {result, running} = await runAttempt(options, request, {
      entry,
      call: {...call, usualMillis},
      history,
      replaced,
    });
    lastResult = result;
    if (running !== undefined) {
      replaced ??= createReplacedAttempts();
      replaced.add(running, entry.id);
    }
    placement.end(attemptOutcomeOf(lastResult));
    options.onAttempt({request, result: lastResult, entry});
    history.end(offerOutcomeOf(lastResult));
    if (hasSuccess() || !history.canOffer) break;
    const mayRetry = (): boolean =>
      rules.mayRetry(request, lastResult, history.ranCount);
    if (running === undefined && !mayRetry()) break;
    if (isSilent(lastResult)) {
      await awaitReachableUpstream(options, request, history);
    }
    if (wasDispatched(lastResult)) {
      options.onRetry(request, reasonOf(lastResult));
      call = {...call, origin: {...call.origin, isRepeat: true}};
    }
  }
  const last: RequestOutcome = {result: lastResult, upstreamId};
  const outcome =
    replaced === undefined ? last : await bestOutcome(last, replaced);
  return {
    lastResult: outcome.result,
    mayHaveRun: history.ranCount > 0,
    sentCount: history.deliveredCount,
    upstreamId: outcome.upstreamId,
  };
}

/** Result of a request; without an upstream if it was sent to none. */
interface RequestOutcome {
  readonly result: ExecutionResult;
  readonly upstreamId: string | undefined;
}

/** Waits for attempts that were replaced, unless the last one has succeeded. */
async function bestOutcome(
  last: RequestOutcome,
  replaced: ReplacedAttempts,
): Promise<RequestOutcome> {
  if (isSuccess(last.result)) {
    replaced.discard();
    return last;
  }
  const outcome = await replaced.settle();
  if (outcome === undefined) return last;
  const isBetter =
    outcome.result.kind === 'answered' || last.result.kind !== 'answered';
  if (!isBetter) return last;
  discardResponse(last.result);
  return outcome;
}

/** Input for choosing the upstream of the next attempt. */
interface NextOffer {
  readonly history: AttemptHistory;
  /** Usual response time for this route and service; unset before the first response. */
  readonly usualMillis: number | undefined;
}

/** Falls back to upstreams that rejected the request if no other is available. */
function chooseNext(
  {placement, remote}: AttemptRunnerOptions,
  {service, route}: AttemptedRequest,
  {history, usualMillis}: NextOffer,
): Placement | undefined {
  const goal = {objectiveMillis: route.objectiveMillis, usualMillis};
  const choose = (): Placement | undefined =>
    placement.choose(service, history.excludedIds, remote.isLost, goal);
  return (
    choose() ?? (history.readmitRejectingUpstreams() ? choose() : undefined)
  );
}

/**
 * Before a retry of a repeatable request, waits up to 1 s for any reachable upstream,
 * including those already tried: overloaded nodes stop replying for less than a second,
 * partitioned ones for longer.
 */
async function awaitReachableUpstream(
  options: AttemptRunnerOptions,
  {service, call}: AttemptedRequest,
  history: AttemptHistory,
): Promise<void> {
  const {placement, remote, nowMillis} = options;
  if (!call.isRepeatable) return;
  const hasReachableUpstream = (ids: ReadonlySet<string>): boolean =>
    placement.hasReachableAlternative(service, ids, remote.isLost);
  const untilMillis = nowMillis() + REACHABLE_WAIT_MILLIS;
  while (!hasReachableUpstream(history.excludedIds)) {
    if (hasReachableUpstream(NO_IDS)) history.readmitAllUpstreams();
    else if (call.cancel.isCancelled || nowMillis() >= untilMillis) return;
    else await sleep(REACHABLE_POLL_MILLIS);
  }
}

/** Input of one attempt. */
interface NextAttempt {
  readonly entry: UpstreamEntry;
  readonly call: ExecutionCall;
  /** Attempts so far, including this one. */
  readonly history: AttemptHistory;
  /** Earlier attempts that continue. */
  readonly replaced: ReplacedAttempts | undefined;
}

/** How an attempt ended, or why it is replaced and continues. */
interface AttemptResult {
  readonly result: ExecutionResult;
  /**
   * The attempt, if it continues; the retry that replaces it is already charged to the
   * retry budget.
   */
  readonly running?: RunningAttempt | undefined;
}

/** Runs an attempt; one that may run only once is never replaced. */
async function runAttempt(
  options: AttemptRunnerOptions,
  request: AttemptedRequest,
  attempt: NextAttempt,
): Promise<AttemptResult> {
  const {attemptTimeouts, nowMillis} = options;
  const startedMillis = nowMillis();
  const {entry, call} = attempt;
  const ended = call.isRepeatable
    ? await runReplaceableAttempt(options, request, attempt)
    : {result: await attemptAt(options, entry, call)};
  if (ended.result.kind === 'answered') {
    const tookMillis = nowMillis() - startedMillis;
    attemptTimeouts.recordResponse(timeoutKeyOf(request), tookMillis);
  }
  return ended;
}

/**
 * Runs an attempt until it ends, is replaced, or an attempt that it replaced is answered;
 * without an alternative upstream it runs to the deadline.
 */
async function runReplaceableAttempt(
  options: AttemptRunnerOptions,
  request: AttemptedRequest,
  {entry, call, history, replaced}: NextAttempt,
): Promise<AttemptResult> {
  const {attemptTimeouts} = options;
  const key = timeoutKeyOf(request);
  const attempt = startAttempt({
    call,
    attemptTimeoutMillis: attemptTimeouts.timeoutMillis(key),
    execute: timedCall => attemptAt(options, entry, timedCall),
    mayReplace: cause => mayReplace(options, request, history, cause),
  });
  const successListener = replaced?.onSuccess(() => {
    attempt.cancel('timeout');
  });
  const result = await attempt.endedOrReplaced;
  successListener?.dispose();
  if (typeof result !== 'string') return {result};
  if (result === 'timeout') attemptTimeouts.recordTimeout(key);
  return {
    result: {kind: 'unknown', reason: result, hasFailedCall: false},
    running: attempt,
  };
}

/** Whether another attempt may replace one; charges it to the retry budget. */
function mayReplace(
  {placement, remote, rules, stop}: AttemptRunnerOptions,
  request: AttemptedRequest,
  {excludedIds, ranCount}: AttemptHistory,
  cause: ReplacementCause,
): boolean {
  // A slow upstream may complete its attempt before a stopping node completes another.
  if (stop.isStopping && cause !== 'silent') return false;
  const {service} = request;
  const hasNext =
    cause === 'silent'
      ? placement.hasReachableAlternative(service, excludedIds, remote.isLost)
      : placement.hasAlternative(service, excludedIds, remote.isLost);
  return hasNext && rules.mayReplaceAttempt(request, ranCount, cause);
}

function timeoutKeyOf({route, service}: RoutedAttempt): string {
  return `${route.name} ${service}`;
}

function attemptAt(
  options: AttemptRunnerOptions,
  entry: UpstreamEntry,
  call: ExecutionCall,
): Promise<ExecutionResult> {
  if (entry.hostKey !== options.hostKey) {
    return options.remote.execute(entry, call);
  }
  return options.local.execute({
    ...call,
    upstreamId: entry.id,
    fetchBody: () => Promise.resolve(call.body),
  });
}
