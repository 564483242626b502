/**
 * The attempts of one request: choice of upstreams, and repeats where they are
 * proven harmless and within bounds.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionCall, ExecutionEnd} from '../connection/execution.js';
import type {RemoteExecution} from '../connection/remote_execution.js';
import type {AttemptPatience} from '../process/repeats/attempt_patience.js';
import type {
  AttemptHistory,
  OfferEnd,
} from '../process/repeats/attempt_history.js';
import {createAttemptHistory} from '../process/repeats/attempt_history.js';
import type {
  Placement,
  PlacementChooser,
} from '../process/placement/placement.js';
import type {StopPlan} from '../process/stop/stop_plan.js';
import type {UpstreamEntry} from '../process/membership/upstream_entry.js';
import type {AttemptEnd} from '../process/placement/upstream_record.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {AttemptedRequest} from './attempted_request.js';
import type {CrashQuarantine} from './crash_quarantine.js';
import type {LocalExecution} from './local_execution.js';
import type {PatientEnd} from './patient_attempt.js';
import {runPatiently} from './patient_attempt.js';
import type {RepeatRules} from './repeat_rules.js';
import {wasDispatched} from './repeat_rules.js';

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
  readonly rules: RepeatRules;
  readonly quarantine: Pick<CrashQuarantine, 'holds'>;
  readonly patience: AttemptPatience;
  readonly stop: StopPlan;
  readonly nowMillis: () => number;
  readonly onAttempt: (end: ExecutionEnd) => void;
  readonly onRetry: (request: AttemptedRequest, reason: HopReason) => void;
}

/** Time for an unreachable node to be probed again and to reply. */
const REACHABLE_WAIT_MILLIS = 1000;

/** Interval at which it is checked whether one has replied. */
const REACHABLE_POLL_MILLIS = 50;

const NO_IDS: ReadonlySet<string> = new Set();

const NOWHERE: ExecutionEnd = {kind: 'refused', reason: 'unreachable'};

const QUARANTINED: ExecutionEnd = {kind: 'refused', reason: 'quarantined'};

/** Creates the attempts of one node. */
export function createAttempts(options: AttemptsOptions): Attempts {
  return {run: request => runAttempts(options, request)};
}

async function runAttempts(
  options: AttemptsOptions,
  request: AttemptedRequest,
): Promise<AttemptsEnd> {
  const history = createAttemptHistory();
  let last: ExecutionEnd = NOWHERE;
  let upstreamId: string | undefined;
  let call = request.call;
  const {rules} = options;

  while (history.mayOffer) {
    if (options.quarantine.holds(request.call)) {
      if (history.ranCount === 0) last = QUARANTINED;
      break;
    }
    const usualMillis = options.patience.usualMillis(patienceKeyOf(request));
    const placement = placeNext(options, request, {history, usualMillis});
    if (placement === undefined) break;
    const {entry} = placement.upstream;
    upstreamId = entry.id;
    history.begin(entry.id);
    const {end, isGivenUp} = await attemptPatiently(options, request, {
      entry,
      call: {...call, usualMillis},
      history,
    });
    last = end;
    placement.end(outcomeOf(last));
    options.onAttempt(last);
    history.end(offerEndOf(last));
    if (!history.mayOffer) break;
    const mayTryAgain = (): boolean =>
      rules.mayTryAgain(request, last, history.ranCount);
    if (!isGivenUp && !mayTryAgain()) break;
    if (isSilent(last)) await awaitReachableUpstream(options, request, history);
    if (wasDispatched(last)) {
      options.onRetry(request, reasonOf(last));
      call = {...call, origin: {...call.origin, isRepeat: true}};
    }
  }
  return {
    last,
    mayHaveRun: history.ranCount > 0,
    sentCount: history.handedCount,
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
  {placement, remote}: AttemptsOptions,
  {service, route}: AttemptedRequest,
  {history, usualMillis}: NextOffer,
): Placement | undefined {
  const goal = {objectiveMillis: route.objectiveMillis, usualMillis};
  const choose = (): Placement | undefined =>
    placement.choose(service, history.excludedIds, remote.isLost, goal);
  return choose() ?? (history.readmitRejecting() ? choose() : undefined);
}

/**
 * Waits a moment for a reachable upstream, even one that was tried, before a retry of
 * a repeatable request: busy nodes are silent for less than a second, partitioned ones
 * for longer.
 */
async function awaitReachableUpstream(
  options: AttemptsOptions,
  {service, call}: AttemptedRequest,
  history: AttemptHistory,
): Promise<void> {
  const {placement, remote, nowMillis} = options;
  if (!call.isRepeatable) return;
  const canReachBeside = (ids: ReadonlySet<string>): boolean =>
    placement.canReachOther(service, ids, remote.isLost);
  const untilMillis = nowMillis() + REACHABLE_WAIT_MILLIS;
  while (!canReachBeside(history.excludedIds)) {
    if (canReachBeside(NO_IDS)) history.readmitAll();
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
  options: AttemptsOptions,
  request: AttemptedRequest,
  {entry, call, history}: NextAttempt,
): Promise<PatientEnd> {
  const {patience, placement, rules, nowMillis} = options;
  const key = patienceKeyOf(request);
  const startedMillis = nowMillis();
  const hasNext = (): boolean =>
    placement.hasOther(
      request.service,
      history.excludedIds,
      options.remote.isLost,
    );
  const patient = await runPatiently({
    call,
    patienceMillis: call.isRepeatable
      ? patience.patienceMillis(key)
      : undefined,
    execute: patientCall => attemptAt(options, entry, patientCall),
    // A node that stops may end before a second try does, and the first one, at
    // which an upstream is at work, would be lost with it.
    mayGiveUp: () =>
      !options.stop.isStopping &&
      hasNext() &&
      rules.mayGiveUp(request, history.ranCount),
  });
  if (patient.isGivenUp) patience.observeGivenUp(key);
  else if (patient.end.kind === 'answered') {
    patience.observeAnswer(key, nowMillis() - startedMillis);
  }
  return patient;
}

function patienceKeyOf({route, service}: AttemptedRequest): string {
  return `${route.name} ${service}`;
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

function isSilent(end: ExecutionEnd): boolean {
  return end.kind === 'unknown' && end.reason === 'silent';
}

function offerEndOf(end: ExecutionEnd): OfferEnd {
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

function reasonOf(end: ExecutionEnd): HopReason {
  return end.kind === 'answered' ? 'none' : end.reason;
}

function outcomeOf(end: ExecutionEnd): AttemptEnd {
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
