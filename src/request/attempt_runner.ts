/**
 * The attempts of one request: choice of upstreams, and repeats where they are
 * proven harmless and within bounds.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionCall, ExecutionResult} from '../connection/execution.js';
import type {RemoteExecution} from '../connection/remote_execution.js';
import type {AttemptTimeouts} from '../process/repeats/attempt_timeouts.js';
import type {
  AttemptHistory,
  OfferOutcome,
} from '../process/repeats/attempt_history.js';
import {createAttemptHistory} from '../process/repeats/attempt_history.js';
import type {
  Placement,
  PlacementChooser,
} from '../process/placement/placement.js';
import type {StopPlan} from '../process/stop/stop_plan.js';
import type {UpstreamEntry} from '../process/membership/upstream_entry.js';
import type {AttemptOutcome} from '../process/placement/upstream_stats.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {AttemptedRequest} from './attempted_request.js';
import type {CrashQuarantine} from './crash_quarantine.js';
import type {LocalExecution} from './local_execution.js';
import type {TimedAttemptResult} from './attempt_timeout.js';
import {runWithAttemptTimeout} from './attempt_timeout.js';
import type {RepeatRules} from './repeat_rules.js';
import {wasDispatched} from './repeat_rules.js';

/** What came of all attempts together. */
export interface AttemptsResult {
  readonly lastResult: ExecutionResult;
  /** Some attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Upstreams that were handed the request. */
  readonly sentCount: number;
  /** Id of the upstream of the last attempt. */
  readonly upstreamId: string | undefined;
}

/** Attempts requests. */
export interface AttemptRunner {
  run(request: AttemptedRequest): Promise<AttemptsResult>;
}

/** What attempts need. */
export interface AttemptRunnerOptions {
  readonly hostKey: string;
  readonly placement: PlacementChooser;
  readonly local: LocalExecution;
  readonly remote: RemoteExecution;
  readonly rules: RepeatRules;
  readonly quarantine: Pick<CrashQuarantine, 'holds'>;
  readonly attemptTimeouts: AttemptTimeouts;
  readonly stop: StopPlan;
  readonly nowMillis: () => number;
  readonly onAttempt: (end: ExecutionResult) => void;
  readonly onRetry: (request: AttemptedRequest, reason: HopReason) => void;
}

/** Time for an unreachable node to be probed again and to reply. */
const REACHABLE_WAIT_MILLIS = 1000;

/** Interval at which it is checked whether one has replied. */
const REACHABLE_POLL_MILLIS = 50;

const NO_IDS: ReadonlySet<string> = new Set();

const NOWHERE: ExecutionResult = {kind: 'refused', reason: 'unreachable'};

const QUARANTINED: ExecutionResult = {kind: 'refused', reason: 'quarantined'};

/** Creates the attempts of one node. */
export function createAttemptRunner(
  options: AttemptRunnerOptions,
): AttemptRunner {
  return {run: request => runAttempts(options, request)};
}

async function runAttempts(
  options: AttemptRunnerOptions,
  request: AttemptedRequest,
): Promise<AttemptsResult> {
  const history = createAttemptHistory();
  let lastResult: ExecutionResult = NOWHERE;
  let upstreamId: string | undefined;
  let call = request.call;
  const {rules} = options;

  while (history.canOffer) {
    if (options.quarantine.holds(request.call)) {
      if (history.ranCount === 0) lastResult = QUARANTINED;
      break;
    }
    const usualMillis = options.attemptTimeouts.usualMillis(
      patienceKeyOf(request),
    );
    const placement = placeNext(options, request, {history, usualMillis});
    if (placement === undefined) break;
    const {entry} = placement.upstream;
    upstreamId = entry.id;
    history.begin(entry.id);
    const {end, isAbandoned} = await attemptPatiently(options, request, {
      entry,
      call: {...call, usualMillis},
      history,
    });
    lastResult = end;
    placement.end(outcomeOf(lastResult));
    options.onAttempt(lastResult);
    history.end(offerEndOf(lastResult));
    if (!history.canOffer) break;
    const mayTryAgain = (): boolean =>
      rules.mayRetry(request, lastResult, history.ranCount);
    if (!isAbandoned && !mayTryAgain()) break;
    if (isSilent(lastResult)) {
      await awaitReachableUpstream(options, request, history);
    }
    if (wasDispatched(lastResult)) {
      options.onRetry(request, reasonOf(lastResult));
      call = {...call, origin: {...call.origin, isRepeat: true}};
    }
  }
  return {
    lastResult,
    mayHaveRun: history.ranCount > 0,
    sentCount: history.deliveredCount,
    upstreamId,
  };
}

/** What the next offer goes by. */
interface NextOffer {
  readonly history: AttemptHistory;
  /** What its like usually takes, if any was answered. */
  readonly usualMillis: number | undefined;
}

/** Falls back to upstreams that rejected the request if no other is left. */
function placeNext(
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
 * Waits a moment for a reachable upstream, even one that was tried, before a retry of
 * a repeatable request: busy nodes are silent for less than a second, partitioned ones
 * for longer.
 */
async function awaitReachableUpstream(
  options: AttemptRunnerOptions,
  {service, call}: AttemptedRequest,
  history: AttemptHistory,
): Promise<void> {
  const {placement, remote, nowMillis} = options;
  if (!call.isRepeatable) return;
  const canReachBeside = (ids: ReadonlySet<string>): boolean =>
    placement.hasReachableAlternative(service, ids, remote.isLost);
  const untilMillis = nowMillis() + REACHABLE_WAIT_MILLIS;
  while (!canReachBeside(history.excludedIds)) {
    if (canReachBeside(NO_IDS)) history.readmitAllUpstreams();
    else if (call.cancel.isCancelled || nowMillis() >= untilMillis) return;
    else await sleep(REACHABLE_POLL_MILLIS);
  }
}

/** One of several attempts. */
interface NextAttempt {
  readonly entry: UpstreamEntry;
  readonly call: ExecutionCall;
  /** Offers before, and this one. */
  readonly history: AttemptHistory;
}

/** An attempt that is the last one anyway is waited for to its deadline. */
async function attemptPatiently(
  options: AttemptRunnerOptions,
  request: AttemptedRequest,
  {entry, call, history}: NextAttempt,
): Promise<TimedAttemptResult> {
  const {attemptTimeouts, placement, rules, nowMillis} = options;
  const key = patienceKeyOf(request);
  const startedMillis = nowMillis();
  const hasNext = (): boolean =>
    placement.hasAlternative(
      request.service,
      history.excludedIds,
      options.remote.isLost,
    );
  const patient = await runWithAttemptTimeout({
    call,
    attemptTimeoutMillis: call.isRepeatable
      ? attemptTimeouts.timeoutMillis(key)
      : undefined,
    execute: patientCall => attemptAt(options, entry, patientCall),
    // A node that stops may end before a second try does, and the first one, at
    // which an upstream is at work, would be lost with it.
    mayAbandon: () =>
      !options.stop.isStopping &&
      hasNext() &&
      rules.mayAbandonAttempt(request, history.ranCount),
  });
  if (patient.isAbandoned) attemptTimeouts.recordTimeout(key);
  else if (patient.end.kind === 'answered') {
    attemptTimeouts.recordResponse(key, nowMillis() - startedMillis);
  }
  return patient;
}

function patienceKeyOf({route, service}: AttemptedRequest): string {
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

function isSilent(end: ExecutionResult): boolean {
  return end.kind === 'unknown' && end.reason === 'silent';
}

function offerEndOf(end: ExecutionResult): OfferOutcome {
  if (end.kind !== 'refused') return 'ran';
  switch (end.reason) {
    case 'not-executed':
      return 'rejected';
    case 'queue-full':
    case 'too-late':
      return 'full';
    default:
      return 'refused';
  }
}

function reasonOf(end: ExecutionResult): HopReason {
  return end.kind === 'answered' ? 'none' : end.reason;
}

function outcomeOf(end: ExecutionResult): AttemptOutcome {
  if (end.kind === 'answered') {
    if (end.answer.statusCode < 500) return 'served';
    return end.hasFailedCall ? 'neutral' : 'failed';
  }
  switch (end.reason) {
    case 'draining':
    case 'other-upstream':
    case 'misdirected':
    case 'unreachable':
    case 'upstream-crashed':
    case 'silent':
      return 'unreachable';
    case 'not-executed':
    case 'broken-answer':
    case 'connection-lost':
    case 'timeout':
      return 'failed';
    default:
      return 'neutral';
  }
}
