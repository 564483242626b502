/**
 * A call as attempts and executions get it, with defaults for what a test leaves
 * out.
 */
import {createCancelSource} from '../../src/base/cancel_signal.js';
import type {ExecutionCall} from '../../src/connection/execution.js';
import {createRetryGrant} from '../../src/process/retries/shared_retry_grant.js';

/** Time that a call has if the test does not say. */
const LEFT_MILLIS = 5000;

/** A read of a client with three retries, made at `nowMillis`. */
export function executionCall(
  nowMillis: number,
  fields: Partial<ExecutionCall> = {},
): ExecutionCall {
  return {
    attemptId: 'a',
    callerService: 'shop',
    method: 'GET',
    target: '/',
    headers: [],
    body: Buffer.alloc(0),
    isRepeatable: true,
    origin: {
      importance: 0,
      rootId: 'a',
      rootRouteName: 'route',
      rootBeganAtMillis: nowMillis,
      isRepeat: false,
      grant: createRetryGrant(3),
    },
    deadlineMillis: nowMillis + LEFT_MILLIS,
    startByMillis: nowMillis + LEFT_MILLIS,
    cancel: createCancelSource().signal,
    ...fields,
  };
}
