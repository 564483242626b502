/**
 * A call made on behalf of a request: choice of hosts, attempts and retries.
 */
import * as Effect from 'effect/Effect';
import type {TimeSource} from '../base/time_source.js';
import type {
  CallAnswer,
  CallFailure,
  CallRequest,
} from '../connection/call_messages.js';
import type {PeerClient} from '../connection/peer_client.js';
import type {FleetView, KnownHost} from '../process/fleet_view.js';
import type {HostSelector} from '../process/host_selector.js';
import type {KeyDirectory} from '../process/key_records.js';
import type {Metrics} from '../process/metrics.js';
import type {RetryBudget} from '../process/retry_budget.js';
import type {Outcome} from '../protocol/outcome.js';
import {combineOutcomes} from '../protocol/outcome.js';
import {
  answerVerdict,
  failureVerdict,
  isFailedAnswer,
  isRefusedByLoad,
  isRetryable,
} from './attempt_verdict.js';
import type {Callee} from './callee.js';
import {createCallFailure} from './failures.js';
import type {OutboundCall} from './request_scope.js';
import type {RetryLoan} from './retry_grant.js';

/** What outbound calls need. */
export interface OutboundCallsOptions {
  readonly hostName: string;
  readonly callee: Callee;
  readonly peers: PeerClient;
  readonly fleet: FleetView;
  readonly selector: HostSelector;
  readonly keys: KeyDirectory;
  readonly budget: RetryBudget;
  readonly time: TimeSource;
  readonly metrics: Metrics;
}

/** Makes calls to services. */
export interface OutboundCalls {
  /**
   * Ends with one whole answer or one failure that states the outcome of all
   * attempts together. Interruption cancels the attempt in progress.
   */
  run(call: OutboundCall): Effect.Effect<CallAnswer, CallFailure>;
}

/** Less time than this left is not worth an attempt. */
const MIN_LEFT_MILLIS = 1;

/** Creates the outbound side of a node. */
export function createOutboundCalls(
  options: OutboundCallsOptions,
): OutboundCalls {
  return {run: call => runAttempts(options, call)};
}

type Target =
  | {readonly kind: 'host'; readonly host: KnownHost}
  | {readonly kind: 'none'; readonly failure: CallFailure};

function runAttempts(
  options: OutboundCallsOptions,
  call: OutboundCall,
): Effect.Effect<CallAnswer, CallFailure> {
  const triedHostNames = new Set<string>();
  let outcome: Outcome = 'not-run';
  let last: CallFailure | undefined;

  const next = (): Effect.Effect<CallAnswer, CallFailure> => {
    const target = chooseTarget(options, call, triedHostNames);
    if (target.kind === 'none') {
      return Effect.fail(withOutcome(last ?? target.failure, outcome));
    }
    triedHostNames.add(target.host.host.name);
    return Effect.catch(attempt(options, call, target.host), failure => {
      outcome = combineOutcomes(outcome, failure.failure.outcome);
      last = failure;
      if (!mayRetry(options, call, failure)) {
        return Effect.fail(withOutcome(failure, outcome));
      }
      options.metrics.increment('retry.sent', {reason: failure.failure.reason});
      return Effect.suspend(next);
    });
  };
  return Effect.suspend(() => {
    options.budget.recordFirstAttempt();
    return next();
  }).pipe(
    Effect.tap(answer =>
      Effect.sync(() => {
        // A failure two services down reaches this upstream as an answer.
        // Unless it counts as a failed call, the upstream's own failure that
        // follows from it is taken for its fault; seen as healthy hosts that
        // are ejected while a deep service sheds.
        if (!isFailedAnswer(answer)) return;
        call.scope.children.recordFailure(answer.isDependencyRefused);
      }),
    ),
    Effect.tapError(failure =>
      Effect.sync(() => {
        call.scope.children.recordFailure(isRefusedByLoad(failure));
      }),
    ),
  );
}

/** The outcome of a call covers all its attempts, not only the last one. */
function withOutcome(failure: CallFailure, outcome: Outcome): CallFailure {
  const combined = combineOutcomes(failure.failure.outcome, outcome);
  return {...failure, failure: {...failure.failure, outcome: combined}};
}

/** Checks cheap conditions first and takes from the bounds last. */
function mayRetry(
  options: OutboundCallsOptions,
  call: OutboundCall,
  failure: CallFailure,
): boolean {
  if (!isRetryable(failure, call)) return false;
  if (leftMillis(options, call) <= MIN_LEFT_MILLIS) return false;
  if (call.scope.grant.remaining() < 1) {
    options.metrics.increment('retry.grant_exhausted');
    return false;
  }
  if (!options.budget.tryTake()) {
    options.metrics.increment('retry.budget_exhausted');
    return false;
  }
  return call.scope.grant.trySpend();
}

function leftMillis(options: OutboundCallsOptions, call: OutboundCall): number {
  return call.scope.deadlineMonotonicMillis - options.time.monotonicMillis();
}

function chooseTarget(
  options: OutboundCallsOptions,
  call: OutboundCall,
  triedHostNames: ReadonlySet<string>,
): Target {
  if (leftMillis(options, call) <= MIN_LEFT_MILLIS) {
    return none(options, 'deadline-exceeded', 'The deadline has passed.');
  }
  if (call.key !== undefined) return chooseHome(options, call, call.key);
  const selection = options.selector.select({
    service: call.service,
    classIndex: call.scope.classIndex,
    isStarted: call.scope.isStarted,
    triedHostNames,
  });
  switch (selection.kind) {
    case 'selected':
      return {kind: 'host', host: selection.host};
    case 'all-refuse':
      return none(
        options,
        'shed',
        `Every host of service ${call.service} refuses this class now.`,
        selection.retryAfterMillis,
      );
    case 'no-host':
      return none(
        options,
        'no-host',
        `No untried host of service ${call.service} takes new work.`,
      );
  }
}

/** A key has one home; another host must not stand in for it. */
function chooseHome(
  options: OutboundCallsOptions,
  call: OutboundCall,
  key: string,
): Target {
  const homeName = options.keys.homeOf(key, call.service);
  const host =
    homeName === undefined ? undefined : options.fleet.host(homeName);
  if (host === undefined) {
    return none(
      options,
      'key-home-unavailable',
      'No published host is home to this key.',
    );
  }
  // The list names a stopped host until the platform has noticed. Sending to
  // it would only break on a closed connection and leave the outcome open.
  if (host.status?.phase === 'stopped') {
    return none(
      options,
      'key-home-unavailable',
      `Host ${host.host.name}, home to this key, has stopped.`,
    );
  }
  return {kind: 'host', host};
}

function none(
  options: OutboundCallsOptions,
  reason: 'deadline-exceeded' | 'shed' | 'no-host' | 'key-home-unavailable',
  message: string,
  retryAfterMillis?: number,
): Target {
  const failure = createCallFailure(
    {
      outcome: 'not-run',
      reason,
      step: 'route',
      peer: options.hostName,
      message,
    },
    {retryAfterMillis},
  );
  return {kind: 'none', failure};
}

function attempt(
  options: OutboundCallsOptions,
  call: OutboundCall,
  target: KnownHost,
): Effect.Effect<CallAnswer, CallFailure> {
  const hostName = target.host.name;
  const loan = call.scope.grant.lend();
  const request = callRequest(options, call, loan);
  options.selector.recordStart(hostName);
  const sent =
    hostName === options.hostName
      ? options.callee.answer(request)
      : options.peers.call(target.host, request, {
          bufferedBytes: call.scope.policy.policy.bodies.bufferedAnswerBytes,
          silenceMillis: silenceMillis(call),
        });
  const recordEnd = (
    verdict: ReturnType<typeof failureVerdict>,
    load: CallFailure['load'],
  ): void => {
    options.selector.recordEnd({
      hostName,
      classIndex: call.scope.classIndex,
      verdict,
      load,
    });
  };
  return sent.pipe(
    Effect.timeoutOrElse({
      duration: Math.max(MIN_LEFT_MILLIS, leftMillis(options, call)),
      orElse: () => Effect.fail(deadlineFailure(hostName)),
    }),
    Effect.tap(answer =>
      Effect.sync(() => {
        loan.settle(answer.unspentCount);
        recordEnd(answerVerdict(answer), answer.load);
      }),
    ),
    Effect.tapError(failure =>
      Effect.sync(() => {
        settleFailure(loan, failure);
        recordEnd(failureVerdict(failure), failure.load);
      }),
    ),
    Effect.onInterrupt(() =>
      Effect.sync(() => {
        loan.forfeit();
        recordEnd('success', undefined);
      }),
    ),
  );
}

function settleFailure(loan: RetryLoan, failure: CallFailure): void {
  if (failure.unspent === 'unknown') loan.forfeit();
  else loan.settle(failure.unspent === 'all' ? loan.count : failure.unspent);
}

function silenceMillis(call: OutboundCall): number {
  const service = call.scope.policy.findService(call.service);
  return service?.progressTimeoutMillis ?? 0;
}

function callRequest(
  options: OutboundCallsOptions,
  call: OutboundCall,
  loan: RetryLoan,
): CallRequest {
  const {scope} = call;
  return {
    context: {
      requestId: scope.requestId,
      deployment: scope.policy.policy.deployment,
      policyVersion: scope.policy.version,
      service: call.service,
      classIndex: scope.classIndex,
      leftMillis: Math.max(0, Math.floor(leftMillis(options, call))),
      grantCount: loan.count,
      isRepeatBanned: call.isRepeatBanned,
    },
    method: call.method,
    path: call.path,
    headers: call.headers,
    body: call.body,
    key: call.key,
  };
}

function deadlineFailure(hostName: string): CallFailure {
  return createCallFailure(
    {
      outcome: 'unknown',
      reason: 'deadline-exceeded',
      step: 'attempt',
      peer: hostName,
      message: `Host ${hostName} gave no answer before the deadline.`,
    },
    {unspent: 'unknown'},
  );
}
