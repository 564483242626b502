/**
 * Decides at the entry node whether a client's request is admitted, by the
 * admission levels of all services that it will reach.
 *
 * Load pattern: demand on a service deep in the call graph exceeds its
 * capacity. A request that it would reject is rejected here, before any work is
 * done for it; an admitted request runs to completion. A request that needs a
 * service without any upstream is rejected as well: it would fail after all
 * services on the path have worked for it.
 */
import type {CallCounts} from './call_trees.js';
import {shedPositionOf} from './importance.js';
import type {LoadTable} from './load_table.js';

/** Admission control of an entry node. */
export interface EntryAdmission {
  /** Returns why a request is rejected; `undefined` if it is admitted. */
  shedCause(
    request: AdmissionRequest,
    service: string,
    tree: CallCounts,
  ): ShedCause | undefined;
}

/** Service for which a request is rejected, and the reason. */
export interface ShedCause {
  readonly service: string;
  readonly reason: 'overload' | 'no-upstream' | 'rarely-completed';
}

/** Properties of a request that decide about its admission. */
export interface AdmissionRequest {
  readonly importance: number;
  readonly attemptId: string;
}

/** Mean calls per request below which the load of a service is ignored. */
const RELEVANT_COUNT = 0.2;

/**
 * Mean calls per request from which a service counts as required. Rejecting for
 * a service that half of the requests need would also reject the other half,
 * which can be served.
 */
const NEEDED_COUNT = 0.9;

/**
 * Creates an admission control based on reported loads and listed upstreams.
 */
export function createEntryAdmission(
  loadTable: LoadTable,
  hasUpstream: (service: string) => boolean,
): EntryAdmission {
  return {
    shedCause: ({importance}, service, tree) => {
      const position = shedPositionOf(importance);
      const isShedBy = (name: string): boolean =>
        position > loadTable.levelOf(name);
      if (isShedBy(service)) return {service, reason: 'overload'};
      for (const [calledService, count] of tree) {
        if (count >= RELEVANT_COUNT && isShedBy(calledService)) {
          return {service: calledService, reason: 'overload'};
        }
        if (count >= NEEDED_COUNT && !hasUpstream(calledService)) {
          return {service: calledService, reason: 'no-upstream'};
        }
      }
      return undefined;
    },
  };
}
