/**
 * Requests that entered here and have no answer yet. A planned stop must leave
 * none: what it leaves is told by id, since nothing else tells it afterwards.
 */
import type {DecisionLog} from '../process/decision_log.js';
import type {AnsweredRequest} from './entry_answers.js';

/** Requests of one node that have no answer yet. */
export interface OpenRequests {
  readonly count: number;
  add(request: AnsweredRequest): void;
  delete(request: AnsweredRequest): void;
  /** Writes a line for each, bounded like all lines for requests. */
  describe(event: string): void;
}

/** Creates an empty registry. */
export function createOpenRequests(
  log: DecisionLog,
  nowMillis: () => number,
): OpenRequests {
  const open = new Set<AnsweredRequest>();
  return {
    get count() {
      return open.size;
    },
    add: request => {
      open.add(request);
    },
    delete: request => {
      open.delete(request);
    },
    describe: event => {
      const now = nowMillis();
      for (const {attemptId, route, service, ...request} of open) {
        log.request(event, {
          requestId: attemptId,
          route: route.name,
          service,
          isClientGone: request.exchange.cancel.isCancelled,
          ageMillis: Math.round(now - request.arrivedMillis),
          leftMillis: Math.round(request.deadlineMillis - now),
        });
      }
    },
  };
}
