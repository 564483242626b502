/**
 * The node's side that answers calls for the upstream on its host.
 */
import * as Effect from 'effect/Effect';
import type {
  CallAnswer,
  CallFailure,
  CallRequest,
} from '../connection/call_messages.js';
import type {PolicyStore} from '../process/policy_store.js';
import type {FailureReason} from '../protocol/outcome.js';
import type {CompiledPolicy} from '../version/policy.js';
import {createCallFailure} from './failures.js';
import type {GuardedCall, GuardedExecution} from './guarded_execution.js';
import type {KeyedExecution} from './keyed_execution.js';
import {createChildCalls} from './request_scope.js';
import type {RetryGrantFactory} from './retry_grant.js';

/** What the callee needs. */
export interface CalleeOptions {
  readonly hostName: string;
  readonly service: string;
  readonly policies: PolicyStore;
  readonly execution: GuardedExecution;
  readonly keyedExecution: KeyedExecution;
  readonly createGrant: RetryGrantFactory;
  /** Monotonic time at which a call with this much time left is worthless. */
  readonly deadlineOf: (leftMillis: number) => number;
}

/** Answers calls addressed to this host. */
export interface Callee {
  answer(request: CallRequest): Effect.Effect<CallAnswer, CallFailure>;
}

/** Creates the callee of one host. */
export function createCallee(options: CalleeOptions): Callee {
  return {
    answer: request =>
      Effect.suspend(() => {
        const policy = options.policies.byVersion(
          request.context.policyVersion,
        );
        if (policy === undefined) return refuse(options, 'version-unknown');
        if (policy.policy.deployment !== request.context.deployment) {
          return refuse(options, 'protocol-mismatch');
        }
        if (request.context.service !== options.service) {
          return refuse(options, 'unknown-service');
        }
        const service = policy.findService(options.service);
        if (service === undefined) return refuse(options, 'unknown-service');
        const call = openCall(options, request, policy, service);
        return request.key === undefined
          ? options.execution.execute(call)
          : options.keyedExecution.execute(call, request.key);
      }),
  };
}

function openCall(
  options: CalleeOptions,
  request: CallRequest,
  policy: CompiledPolicy,
  service: GuardedCall['service'],
): GuardedCall {
  const {context} = request;
  return {
    request,
    service,
    scope: {
      requestId: context.requestId,
      policy,
      classIndex: context.classIndex,
      deadlineMonotonicMillis: options.deadlineOf(context.leftMillis),
      grant: options.createGrant(context.grantCount),
      isRepeatBanned: context.isRepeatBanned,
      isStarted: true,
      children: createChildCalls(),
    },
  };
}

const MESSAGES: Partial<Record<FailureReason, string>> = {
  'version-unknown': 'does not hold the policy version of the call',
  'protocol-mismatch': 'belongs to another deployment',
  'unknown-service': 'does not serve the service of the call',
};

function refuse(
  options: CalleeOptions,
  reason: FailureReason,
): Effect.Effect<never, CallFailure> {
  return Effect.fail(
    createCallFailure({
      outcome: 'not-run',
      reason,
      step: 'callee',
      peer: options.hostName,
      message: `Host ${options.hostName} ${MESSAGES[reason] ?? 'refused'}.`,
    }),
  );
}
