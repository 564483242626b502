/**
 * Decides at the entry whether a client's request is let in, by the levels of
 * all services that it will reach.
 *
 * Load pattern: demand on a service deep in the graph exceeds what it can do.
 * A request that it would refuse is refused here, where nothing has been
 * done for it yet; what is let in is carried through. So is a request that needs a
 * service of which no upstream is left: it would fail after all services on the
 * way there have worked for it.
 */
import type {CallCounts} from './call_trees.js';
import type {LoadTable} from './load_table.js';

/** The gate. */
export interface EntryAdmission {
  /** Why a request stays out; `undefined` if it is let in. */
  shedCause(
    request: AdmissionRequest,
    service: string,
    tree: CallCounts,
  ): ShedCause | undefined;
}

/** What keeps a request out. */
export interface ShedCause {
  readonly service: string;
  readonly reason: 'overload' | 'no-upstream';
}

/** What the gate needs to know of a request. */
export interface AdmissionRequest {
  readonly importance: number;
  readonly attemptId: string;
}

/** Calls of one request below which a service's load does not decide about it. */
const RELEVANT_COUNT = 0.2;

/**
 * Calls of one request from which nearly all of its like need a service: one
 * that half of them need would keep out the other half, which can be served.
 */
const NEEDED_COUNT = 0.9;

/** Creates a gate over what has been heard of loads and upstreams. */
export function createEntryAdmission(
  board: LoadTable,
  hasUpstream: (service: string) => boolean,
): EntryAdmission {
  return {
    shedCause: ({importance}, service, tree) => {
      const isOut = (name: string): boolean => importance > board.levelOf(name);
      if (isOut(service)) return {service, reason: 'overload'};
      for (const [deeper, count] of tree) {
        if (count >= RELEVANT_COUNT && isOut(deeper)) {
          return {service: deeper, reason: 'overload'};
        }
        if (count >= NEEDED_COUNT && !hasUpstream(deeper)) {
          return {service: deeper, reason: 'no-upstream'};
        }
      }
      return undefined;
    },
  };
}
