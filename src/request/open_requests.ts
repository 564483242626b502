/**
 * Registry of the requests that entered here and have no response yet. At the end of a
 * planned stop they are cancelled, so that each gets a final response, and logged by id,
 * since nothing else reports them afterwards.
 */
import type {DecisionLog} from '../process/log/decision_log.js';
import type {RequestCancelSource} from '../protocol/cancel_cause.js';
import type {OpenRequest} from './open_request.js';

/** Requests of a node that have no response yet. */
export interface OpenRequests {
  readonly count: number;
  /** Cancelling the source ends the request. */
  add(request: OpenRequest, source: RequestCancelSource): void;
  delete(request: OpenRequest): void;
  /** Logs one rate-limited line per request. */
  logAll(event: string): void;
  /** Cancels all requests, also those added later; each gets its response at once. */
  cancelAll(): void;
}

/** Creates an empty registry. */
export function createOpenRequests(
  log: DecisionLog,
  nowMillis: () => number,
): OpenRequests {
  const open = new Map<OpenRequest, RequestCancelSource>();
  let isCancelled = false;
  return {
    get count() {
      return open.size;
    },
    add: (request, source) => {
      open.set(request, source);
      if (isCancelled) source.cancel('stopping');
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
      isCancelled = true;
      for (const source of [...open.values()]) source.cancel('stopping');
    },
  };
}
