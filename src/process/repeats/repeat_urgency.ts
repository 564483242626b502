/**
 * Which of several rejected requests is sent again first, where the bound on
 * repeats is too small for all of them.
 *
 * Load pattern: the upstreams of a service reject half of what they are handed,
 * and clients' requests make several calls there in turn. A repeat of a first
 * call helps one in many, for the calls after it are rejected as often; one of a
 * last call nearly always saves the request and all work done for it.
 */
import {rankOf} from '../admission/importance.js';

/** What the order goes by. */
export interface RejectedRequest {
  readonly importance: number;
  /** Calls that were made before it for the same request. */
  readonly doneCallsCount: number;
}

/** Urgency in [0, 1]: by rank, and by how far its request has come. */
export function urgencyOf(request: RejectedRequest): number {
  const byRank = 1 / (1 + rankOf(request.importance));
  const byProgress = 1 - 1 / (2 + request.doneCallsCount);
  return byRank * byProgress;
}
