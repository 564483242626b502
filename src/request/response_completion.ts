/**
 * Completes responses of which only the end of a connection marks the end.
 */
import type {UnframedBodies} from '../connection/unframed_bodies.js';
import {isIncompleteUnframed} from '../connection/unframed_bodies.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {AttemptsResult} from './attempt_runner.js';
import type {EnteredRequest} from './entered_request.js';

const ABORTED: HopReason = 'connection-lost';

/**
 * Receives the rest of such a response before it is sent to the client. If it is aborted, the
 * outcome of the request is unknown.
 */
export async function completeResponse(
  unframedBodies: UnframedBodies,
  {exchange, deadlineMillis}: EnteredRequest,
  result: AttemptsResult,
): Promise<AttemptsResult> {
  const {lastResult} = result;
  if (lastResult.kind !== 'answered') return result;
  const {answer, hasFailedCall} = lastResult;
  if (!isIncompleteUnframed(answer)) return result;
  const complete = await unframedBodies.receive(
    answer,
    exchange,
    deadlineMillis,
  );
  return {
    ...result,
    lastResult:
      complete === 'aborted'
        ? {kind: 'unknown', reason: ABORTED, hasFailedCall}
        : {...lastResult, answer: complete},
  };
}
