/**
 * Execution of a call by the upstream on this host, behind admission.
 */
import * as Effect from 'effect/Effect';
import type {TimeSource} from '../base/time_source.js';
import type {
  CallAnswer,
  CallFailure,
  CallRequest,
} from '../connection/call_messages.js';
import type {HeaderField} from '../connection/header_fields.js';
import {endToEndFields} from '../connection/header_fields.js';
import type {HttpAnswer, SendFailure} from '../connection/http_send.js';
import {reasonOfSendFailure} from '../connection/http_send.js';
import type {UpstreamClient} from '../connection/upstream_client.js';
import type {
  AdmissionController,
  AdmissionRefusal,
  Permit,
} from '../process/admission_controller.js';
import type {Metrics} from '../process/metrics.js';
import {HEADER} from '../protocol/headers.js';
import type {Outcome} from '../protocol/outcome.js';
import type {Service} from '../version/policy.js';
import {createCallFailure} from './failures.js';
import type {InProgressRequests} from './in_progress.js';
import type {RequestScope} from './request_scope.js';

/** A call with the scope opened for it on this host. */
export interface GuardedCall {
  readonly request: CallRequest;
  readonly scope: RequestScope;
  readonly service: Service;
}

/** What execution needs. */
export interface GuardedExecutionOptions {
  readonly hostName: string;
  readonly admission: AdmissionController;
  readonly upstream: UpstreamClient;
  readonly inProgress: InProgressRequests;
  readonly time: TimeSource;
  readonly metrics: Metrics;
}

/** Executes admitted calls. */
export interface GuardedExecution {
  execute(call: GuardedCall): Effect.Effect<CallAnswer, CallFailure>;
}

const STATUS_OVERLOADED = 503;

/** Creates the execution path of the local upstream. */
export function createGuardedExecution(
  options: GuardedExecutionOptions,
): GuardedExecution {
  const {admission, metrics} = options;
  return {
    execute: call => {
      const admitted = admission.admit({
        classIndex: call.scope.classIndex,
        deadlineMonotonicMillis: call.scope.deadlineMonotonicMillis,
      });
      return admitted.pipe(
        Effect.mapError(refusal => refusedFailure(options, call, refusal)),
        Effect.flatMap(permit => {
          if (isLate(options, call)) {
            permit.release({latencyMillis: undefined, isOverload: false});
            return Effect.fail(lateFailure(options, call));
          }
          metrics.increment('execution.started', classTag(call));
          return runPermitted(options, call, permit);
        }),
      );
    },
  };
}

/**
 * Whether the deadline passed between admission and sending, as when the
 * process was paused there. The answer would reach nobody, and a keyed request
 * could by now have another executor.
 */
function isLate(options: GuardedExecutionOptions, call: GuardedCall): boolean {
  return options.time.monotonicMillis() >= call.scope.deadlineMonotonicMillis;
}

function lateFailure(
  options: GuardedExecutionOptions,
  call: GuardedCall,
): CallFailure {
  options.metrics.increment('execution.late', classTag(call));
  return createCallFailure(
    {
      outcome: 'not-run',
      reason: 'deadline-exceeded',
      step: 'dispatch',
      peer: options.hostName,
      message: 'The deadline passed before the call reached the upstream.',
    },
    {unspent: call.scope.grant.close(), load: options.admission.load()},
  );
}

function classTag(call: GuardedCall): Readonly<Record<string, string>> {
  return {class: String(call.scope.classIndex)};
}

/**
 * Runs one call under its permit. Whatever ends the call, interruption
 * included, releases the permit and forgets the context token, or the limit
 * would shrink for good with every cancelled call.
 */
function runPermitted(
  options: GuardedExecutionOptions,
  call: GuardedCall,
  permit: Permit,
): Effect.Effect<CallAnswer, CallFailure> {
  const startMillis = options.time.monotonicMillis();
  const entry = options.inProgress.open(call.scope);
  let isReleased = false;
  const release = (isComplete: boolean, isOverload: boolean): void => {
    if (isReleased) return;
    isReleased = true;
    entry.close();
    const latencyMillis = options.time.monotonicMillis() - startMillis;
    permit.release({
      latencyMillis: isComplete ? latencyMillis : undefined,
      isOverload,
    });
  };
  return sendToUpstream(options, call, entry.token).pipe(
    Effect.mapError(failure => sendFailure(options, call, failure)),
    Effect.flatMap(answer => {
      // An upstream that passes on a failure from deeper in the graph is not
      // itself overloaded; lowering its limit would spread the damage upwards.
      const isOverload =
        answer.statusCode === STATUS_OVERLOADED &&
        !call.scope.children.hasFailed();
      if (answer.body.kind === 'streamed') {
        answer.body.source.once('close', () => {
          release(true, isOverload);
        });
      } else {
        release(true, isOverload);
      }
      return isOverload
        ? Effect.fail(overloadedFailure(options, call, answer))
        : Effect.succeed(callAnswer(options, call, answer));
    }),
    Effect.onError(() =>
      Effect.sync(() => {
        release(false, false);
        // The upstream may go on for a request that was given up; what it
        // still calls would load the services below for nobody.
        call.scope.children.cancel();
      }),
    ),
  );
}

function sendToUpstream(
  options: GuardedExecutionOptions,
  call: GuardedCall,
  token: string,
): Effect.Effect<HttpAnswer, SendFailure> {
  const {scope, request} = call;
  const leftMillis =
    scope.deadlineMonotonicMillis - options.time.monotonicMillis();
  const own: HeaderField[] = [
    {name: 'Host', value: call.service.name},
    {name: HEADER.context, value: token},
    {name: HEADER.requestId, value: scope.requestId},
    {
      name: HEADER.deadlineLeft,
      value: String(Math.max(0, Math.floor(leftMillis))),
    },
  ];
  if (request.key !== undefined) {
    own.push({name: HEADER.idempotencyKey, value: request.key});
  }
  return options.upstream.send({
    method: request.method,
    path: request.path,
    headers: [...own, ...request.headers],
    body: request.body,
    isRepeatBanned: scope.isRepeatBanned,
    bufferedBytes: scope.policy.policy.bodies.bufferedAnswerBytes,
    silenceMillis: call.service.progressTimeoutMillis,
  });
}

function callAnswer(
  options: GuardedExecutionOptions,
  call: GuardedCall,
  answer: HttpAnswer,
): CallAnswer {
  return {
    statusCode: answer.statusCode,
    headers: endToEndFields(answer.rawHeaders),
    body: answer.body,
    // Calls made while a streamed body is still being produced find the grant
    // closed, so what is given back here cannot be spent a second time.
    unspentCount: call.scope.grant.close(),
    load: options.admission.load(),
    isDependencyFailed: call.scope.children.hasFailed(),
    isDependencyRefused: call.scope.children.wasRefused(),
  };
}

function refusedFailure(
  options: GuardedExecutionOptions,
  call: GuardedCall,
  refusal: AdmissionRefusal,
): CallFailure {
  options.metrics.increment('execution.refused', {
    ...classTag(call),
    reason: refusal.reason,
  });
  return createCallFailure(
    {
      outcome: 'not-run',
      reason: refusal.reason,
      step: 'admission',
      peer: options.hostName,
      message: `Host ${options.hostName} refused the call before execution.`,
    },
    {
      retryAfterMillis: refusal.retryAfterMillis,
      unspent: call.scope.grant.close(),
      load: options.admission.load(),
    },
  );
}

function overloadedFailure(
  options: GuardedExecutionOptions,
  call: GuardedCall,
  answer: HttpAnswer,
): CallFailure {
  if (answer.body.kind === 'streamed') answer.body.source.destroy();
  const isNotRun = answer.headers[HEADER.upstreamOutcome] === 'not-run';
  const outcome: Outcome = isNotRun ? 'not-run' : 'unknown';
  options.metrics.increment('execution.upstream_overloaded', {outcome});
  return createCallFailure(
    {
      outcome,
      reason: 'shed',
      step: 'upstream',
      peer: options.hostName,
      message: `The upstream of host ${options.hostName} is overloaded.`,
    },
    {
      retryAfterMillis: call.scope.policy.policy.timing.retryAfterMinimumMillis,
      unspent: call.scope.grant.close(),
      load: options.admission.load(),
    },
  );
}

function sendFailure(
  options: GuardedExecutionOptions,
  call: GuardedCall,
  sent: SendFailure,
): CallFailure {
  const outcome: Outcome = sent.mayHaveArrived ? 'unknown' : 'not-run';
  options.metrics.increment('execution.broken', {kind: sent.kind});
  return createCallFailure(
    {
      outcome,
      reason: reasonOfSendFailure(sent.kind),
      step: `upstream-${sent.kind}`,
      peer: options.hostName,
      message: sent.error.message,
    },
    {
      unspent: call.scope.grant.close(),
      load: options.admission.load(),
      isSilent: sent.kind === 'silent',
    },
  );
}
