/**
 * Attempts of one request that were replaced and continue. The first successful response
 * of any attempt is the result of the request.
 */
import type {Disposable} from '../base/lifecycle.js';
import type {ExecutionResult} from '../connection/execution.js';
import type {RunningAttempt} from './replaceable_attempt.js';

/** Result of an attempt, and the upstream that it was sent to. */
export interface UpstreamOutcome {
  readonly result: ExecutionResult;
  readonly upstreamId: string;
}

/** Replaced attempts of one request. */
export interface ReplacedAttempts {
  add(attempt: RunningAttempt, upstreamId: string): void;
  /** The first successful response. */
  readonly success: UpstreamOutcome | undefined;
  /** Calls the listener on the first successful response. */
  onSuccess(listener: () => void): Disposable;
  /**
   * Resolves with the first successful response. Without one, with the last outcome once
   * all attempts have ended: a failure of an upstream rather than none; `undefined` if
   * there is no attempt.
   */
  settle(): Promise<UpstreamOutcome | undefined>;
  /** Cancels all attempts and discards their responses: none is needed any more. */
  discard(): void;
}

/** Creates an empty set. */
export function createReplacedAttempts(): ReplacedAttempts {
  const running = new Map<RunningAttempt, Promise<void>>();
  const listeners = new Set<() => void>();
  let success: UpstreamOutcome | undefined;
  let last: UpstreamOutcome | undefined;
  let isDiscarded = false;

  const cancel = (): void => {
    for (const attempt of running.keys()) attempt.cancel('timeout');
  };
  const record = (outcome: UpstreamOutcome): void => {
    if (isDiscarded || success !== undefined) {
      discardResponse(outcome.result);
      return;
    }
    if (isSuccess(outcome.result)) {
      success = outcome;
      if (last !== undefined) discardResponse(last.result);
      cancel();
      for (const listener of [...listeners]) listener();
    } else if (last?.result.kind !== 'answered') {
      last = outcome;
    } else {
      discardResponse(outcome.result);
    }
  };
  const watch = async (
    attempt: RunningAttempt,
    upstreamId: string,
  ): Promise<void> => {
    const result = await attempt.result;
    running.delete(attempt);
    record({result, upstreamId});
  };

  return {
    add: (attempt, upstreamId) => {
      running.set(attempt, watch(attempt, upstreamId));
    },
    get success() {
      return success;
    },
    onSuccess: listener => {
      listeners.add(listener);
      return {dispose: () => listeners.delete(listener)};
    },
    settle: async () => {
      while (success === undefined && running.size > 0) {
        await Promise.race(running.values());
      }
      return success ?? last;
    },
    discard: () => {
      isDiscarded = true;
      cancel();
      const outcome = success ?? last;
      if (outcome !== undefined) discardResponse(outcome.result);
    },
  };
}

/** Releases the rest of a response that is not passed on; its upstream would wait. */
export function discardResponse(result: ExecutionResult): void {
  if (result.kind === 'answered') result.answer.bodyRest?.destroy();
}

/** Whether no other attempt can have a better result. */
export function isSuccess(result: ExecutionResult): boolean {
  return result.kind === 'answered' && result.answer.statusCode < 500;
}
