/**
 * What one request carries from its entry to every call made on its behalf.
 */
import * as Deferred from 'effect/Deferred';
import * as Effect from 'effect/Effect';
import type {CompiledPolicy} from '../version/policy.js';
import type {HeaderField} from '../connection/header_fields.js';
import type {RetryGrant} from './retry_grant.js';

/** The request as known on this host. */
export interface RequestScope {
  readonly requestId: string;
  /** The version the request entered under, kept to its end. */
  readonly policy: CompiledPolicy;
  readonly classIndex: number;
  readonly deadlineMonotonicMillis: number;
  readonly grant: RetryGrant;
  /** Whether only safe calls made on its behalf may be repeated. */
  readonly isRepeatBanned: boolean;
  /** Whether an upstream has already worked on it. */
  readonly isStarted: boolean;
  /** Calls made on its behalf from this host. */
  readonly children: ChildCalls;
}

/** The calls made on behalf of a request from this host. */
export interface ChildCalls {
  /** Notes a failed call, and whether a service refused it for its load. */
  recordFailure(isRefusal: boolean): void;
  hasFailed(): boolean;
  wasRefused(): boolean;
  /** Ends the calls in progress, because nobody waits for the request. */
  cancel(): void;
  /** Completes when the calls are to end. */
  readonly cancelled: Effect.Effect<void>;
}

/** Creates the record of a request that has made no call yet. */
export function createChildCalls(): ChildCalls {
  const cancelled = Deferred.makeUnsafe<undefined>();
  let hasFailed = false;
  let wasRefused = false;
  return {
    recordFailure: isRefusal => {
      hasFailed = true;
      wasRefused ||= isRefusal;
    },
    hasFailed: () => hasFailed,
    wasRefused: () => wasRefused,
    cancel: () => {
      Deferred.doneUnsafe(cancelled, Effect.succeed(undefined));
    },
    cancelled: Effect.asVoid(Deferred.await(cancelled)),
  };
}

/** A call to be made on behalf of a request. */
export interface OutboundCall {
  readonly scope: RequestScope;
  readonly service: string;
  readonly method: string;
  /** Path with query string. */
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  readonly key: string | undefined;
  /** Whether this call may be repeated once an upstream may have got it. */
  readonly isRepeatBanned: boolean;
}
