/**
 * Builds calls for tests of attempts and executions.
 */
import {createCancelSource} from '../../src/base/cancel_signal.js';
import type {ExecutionCall} from '../../src/connection/execution.js';
import type {CancelCause} from '../../src/protocol/cancel_cause.js';
import {createRetryGrant} from '../../src/process/retries/shared_retry_grant.js';

/** Default time until the deadline of a call. */
const LEFT_MILLIS = 5000;

/** Returns a client's read with a grant of three retries that starts at `nowMillis`. */
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
    cancel: createCancelSource<CancelCause>().signal,
    ...fields,
  };
}
