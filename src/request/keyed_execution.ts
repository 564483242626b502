/**
 * Execution of calls that carry an idempotency key, at most once for each key.
 */
import {createHash} from 'node:crypto';
import * as Deferred from 'effect/Deferred';
import * as Effect from 'effect/Effect';
import type {CallAnswer, CallFailure} from '../connection/call_messages.js';
import type {
  KeptAnswer,
  KeyDecision,
  KeyRecords,
  KeyResult,
} from '../process/key_records.js';
import {createCallFailure} from './failures.js';
import type {GuardedCall, GuardedExecution} from './guarded_execution.js';

/** What keyed execution needs. */
export interface KeyedExecutionOptions {
  readonly hostName: string;
  readonly records: KeyRecords;
  readonly execution: GuardedExecution;
}

/** Executes keyed calls. */
export interface KeyedExecution {
  execute(
    call: GuardedCall,
    key: string,
  ): Effect.Effect<CallAnswer, CallFailure>;
}

/** Creates the keyed path in front of the guarded one. */
export function createKeyedExecution(
  options: KeyedExecutionOptions,
): KeyedExecution {
  return {
    execute: (call, key) =>
      // An interruption between the decision to run and the start of the task
      // would leave the key marked as running for good, and repeats waiting.
      Effect.uninterruptibleMask(restore =>
        Effect.suspend(() => {
          const fingerprint = fingerprintOf(call);
          const decision = options.records.begin({key, fingerprint});
          return follow(options, call, decision, restore);
        }),
      ),
  };
}

/** SHA-256 of what makes two requests the same request. */
function fingerprintOf(call: GuardedCall): Uint8Array {
  const {request} = call;
  return createHash('sha256')
    .update(`${request.method} ${call.service.name} ${request.path}\n`)
    .update(request.body)
    .digest();
}

type Restore = <A, E>(effect: Effect.Effect<A, E>) => Effect.Effect<A, E>;

function follow(
  options: KeyedExecutionOptions,
  call: GuardedCall,
  decision: KeyDecision,
  restore: Restore,
): Effect.Effect<CallAnswer, CallFailure> {
  switch (decision.kind) {
    case 'run':
      return runDetached(options, call, decision.finish, restore);
    case 'join':
      return Effect.flatMap(restore(decision.result), result =>
        answerOfResult(options, call, result),
      );
    case 'replay':
      return Effect.succeed(replayed(call, decision.answer));
    case 'unknown':
      return Effect.fail(unknownFailure(options, call));
    case 'conflict':
      return Effect.fail(
        createCallFailure({
          outcome: 'not-run',
          reason: 'key-conflict',
          step: 'key',
          peer: options.hostName,
          message: 'The key was used before with another request.',
        }),
      );
    case 'refuse':
      return Effect.fail(
        createCallFailure(
          {
            outcome: 'not-run',
            reason: decision.reason,
            step: 'key',
            peer: options.hostName,
            message: `Host ${options.hostName} may not execute this key now.`,
          },
          {retryAfterMillis: decision.retryAfterMillis},
        ),
      );
  }
}

/**
 * Executes in a task of its own. If it ended with the connection of the first
 * caller, an order would be cancelled half-way and its outcome lost; so it
 * goes on, and a repeat with the same key gets the answer.
 */
function runDetached(
  options: KeyedExecutionOptions,
  call: GuardedCall,
  finish: (result: KeyResult) => void,
  restore: Restore,
): Effect.Effect<CallAnswer, CallFailure> {
  return Effect.gen(function* () {
    const ended = yield* Deferred.make<CallAnswer, CallFailure>();
    const run = Effect.interruptible(options.execution.execute(call)).pipe(
      Effect.tap(answer =>
        Effect.sync(() => {
          finish(resultOfAnswer(answer));
        }),
      ),
      Effect.onError(cause =>
        Effect.sync(() => {
          finish(resultOfCause(cause.reasons));
        }),
      ),
    );
    yield* Effect.forkDetach(Deferred.into(run, ended));
    return yield* restore(Deferred.await(ended));
  });
}

function resultOfAnswer(answer: CallAnswer): KeyResult {
  if (answer.body.kind === 'streamed') return {kind: 'ran', answer: undefined};
  const kept: KeptAnswer = {
    statusCode: answer.statusCode,
    headers: answer.headers.map(field => [field.name, field.value] as const),
    body: answer.body.bytes,
  };
  return {kind: 'ran', answer: kept};
}

interface CauseReason {
  readonly _tag: string;
  readonly error?: CallFailure;
}

/** Anything but a stated `not-run` leaves the outcome open. */
function resultOfCause(reasons: readonly CauseReason[]): KeyResult {
  const isNotRun =
    reasons.length > 0 &&
    reasons.every(
      reason =>
        reason._tag === 'Fail' && reason.error?.failure.outcome === 'not-run',
    );
  return isNotRun ? {kind: 'not-run'} : {kind: 'unknown'};
}

function answerOfResult(
  options: KeyedExecutionOptions,
  call: GuardedCall,
  result: KeyResult,
): Effect.Effect<CallAnswer, CallFailure> {
  if (result.kind === 'ran' && result.answer !== undefined) {
    return Effect.succeed(replayed(call, result.answer));
  }
  if (result.kind === 'not-run') {
    return Effect.fail(
      createCallFailure(
        {
          outcome: 'not-run',
          reason: 'shed',
          step: 'key-join',
          peer: options.hostName,
          message: 'The execution this request waited for did not take place.',
        },
        {
          retryAfterMillis:
            call.scope.policy.policy.timing.retryAfterMinimumMillis,
        },
      ),
    );
  }
  return Effect.fail(unknownFailure(options, call));
}

function replayed(call: GuardedCall, kept: KeptAnswer): CallAnswer {
  return {
    statusCode: kept.statusCode,
    headers: kept.headers.map(([name, value]) => ({name, value})),
    body: {kind: 'whole', bytes: Buffer.from(kept.body)},
    unspentCount: call.scope.grant.close(),
    load: undefined,
    isDependencyFailed: false,
    isDependencyRefused: false,
  };
}

function unknownFailure(
  options: KeyedExecutionOptions,
  call: GuardedCall,
): CallFailure {
  return createCallFailure(
    {
      outcome: 'unknown',
      reason: 'key-outcome-unknown',
      step: 'key',
      peer: options.hostName,
      message: 'An earlier execution for this key may have taken place.',
    },
    {unspent: call.scope.grant.close()},
  );
}
