/**
 * Connections on which requests were rejected or failed. The id in a response names the
 * request, not its dispatch: once a connection has delivered one, a second one with this id
 * may be a late response to the first dispatch.
 *
 * Load pattern: all upstreams in reach reject a share of the requests, so that one is
 * dispatched to one of them again within milliseconds, on its most recently used connection.
 */

import {ORDER_RETENTION_MILLIS} from './started_orders.js';

/** Dispatches without success, by the id of their request. */
export interface FailedDispatches {
  /** Records that the request was rejected or failed on a connection. */
  add(attemptId: string, connectionId: number, deadlineMillis: number): void;
  /** Connections on which the request was rejected or failed. */
  connectionIdsOf(attemptId: string): ReadonlySet<number>;
}

interface FailedDispatch {
  readonly connectionIds: ReadonlySet<number>;
  readonly untilMillis: number;
}

const NO_CONNECTIONS: ReadonlySet<number> = new Set();

/**
 * Creates an empty registry. Memory is bounded by the rate of responses without success and
 * the longest time for which one is remembered.
 */
export function createFailedDispatches(
  nowMillis: () => number,
): FailedDispatches {
  const dispatches = new Map<string, FailedDispatch>();

  const evictExpired = (): void => {
    const now = nowMillis();
    for (const [attemptId, {untilMillis}] of dispatches) {
      if (untilMillis > now) return;
      dispatches.delete(attemptId);
    }
  };
  const connectionIdsOf = (attemptId: string): ReadonlySet<number> =>
    dispatches.get(attemptId)?.connectionIds ?? NO_CONNECTIONS;

  return {
    add: (attemptId, connectionId, deadlineMillis) => {
      evictExpired();
      const connectionIds = new Set(connectionIdsOf(attemptId));
      connectionIds.add(connectionId);
      const untilMillis = deadlineMillis + ORDER_RETENTION_MILLIS;
      dispatches.delete(attemptId);
      dispatches.set(attemptId, {connectionIds, untilMillis});
    },
    connectionIdsOf,
  };
}
