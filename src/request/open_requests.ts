/**
 * Requests that entered here and have no answer yet. A planned stop must leave
 * none: at its end they are given up, so that each gets a final answer, and told
 * by id, since nothing else tells it afterwards.
 */
import type {CancelSource} from '../base/cancel_signal.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import type {OpenRequest} from './open_request.js';

/** Requests of one node that have no answer yet. */
export interface OpenRequests {
  readonly count: number;
  /** Work on it ends as soon as the source is cancelled. */
  add(request: OpenRequest, source: CancelSource): void;
  delete(request: OpenRequest): void;
  /** Writes a line for each, bounded like all lines for requests. */
  logAll(event: string): void;
  /** Gives all of them up, and what is added later; each is answered at once. */
  cancelAll(): void;
}

/** Creates an empty registry. */
export function createOpenRequests(
  log: DecisionLog,
  nowMillis: () => number,
): OpenRequests {
  const open = new Map<OpenRequest, CancelSource>();
  let isGivenUp = false;
  return {
    get count() {
      return open.size;
    },
    add: (request, source) => {
      open.set(request, source);
      if (isGivenUp) source.cancel();
    },
    delete: request => {
      open.delete(request);
    },
    logAll: event => {
      const now = nowMillis();
      for (const {attemptId, route, service, ...request} of open.keys()) {
        log.logRequestEvent(event, {
          requestId: attemptId,
          route: route.name,
          service,
          isClientGone: request.exchange.cancel.isCancelled,
          ageMillis: Math.round(now - request.arrivedMillis),
          leftMillis: Math.round(request.deadlineMillis - now),
        });
      }
    },
    cancelAll: () => {
      isGivenUp = true;
      for (const source of [...open.values()]) source.cancel();
    },
  };
}
