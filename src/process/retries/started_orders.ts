/**
 * Ids of the requests that must not be repeated and may have run. A client, an HTTP library
 * of an application, or another node may send one of them again, for example because its
 * connection closed without a response.
 */
import {createExpiringIds} from './expiring_ids.js';

export interface StartedOrders {
  /**
   * Records that a request is about to run; false if one with this id may have run
   * already.
   */
  begin(attemptId: string, deadlineMillis: number): boolean;
  /** Records that the request has not run and will not run. */
  release(attemptId: string): void;
}

/**
 * Time beyond the deadline of a request for which its id is remembered; its client has
 * given up by then.
 */
export const ORDER_RETENTION_MILLIS = 30_000;

/** For deployments in which the id of a request does not identify it. */
export const NO_STARTED_ORDERS: StartedOrders = {
  begin: () => true,
  release: () => undefined,
};

/** Creates an empty registry. */
export function createStartedOrders(nowMillis: () => number): StartedOrders {
  const startedIds = createExpiringIds(nowMillis);
  return {
    begin: (attemptId, deadlineMillis) => {
      if (startedIds.has(attemptId)) return false;
      startedIds.add(attemptId, deadlineMillis + ORDER_RETENTION_MILLIS);
      return true;
    },
    release: startedIds.delete,
  };
}
