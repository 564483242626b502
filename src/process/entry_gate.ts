/**
 * Decides at the entry whether a client's request is let in, by the levels of
 * all services that it will reach.
 *
 * Load pattern: demand on a service deep in the graph exceeds what it can do.
 * A request that it would refuse is turned away here, where nothing has been
 * done for it yet; what is let in is carried through.
 */
import type {CallCounts} from './call_trees.js';
import {spreadOf} from './importance.js';
import type {LoadBoard} from './load_board.js';

/** The gate. */
export interface EntryGate {
  /** The service because of which a request stays out, if there is one. */
  sheddingService(
    request: GatedRequest,
    service: string,
    tree: CallCounts,
  ): string | undefined;
}

/** What the gate needs to know of a request. */
export interface GatedRequest {
  readonly importance: number;
  readonly attemptId: string;
}

/** Calls of one request below which a service does not decide about it. */
const RELEVANT_COUNT = 0.2;

/** Creates a gate over what has been heard of loads. */
export function createEntryGate(board: LoadBoard): EntryGate {
  return {
    sheddingService: ({importance, attemptId}, service, tree) => {
      // The upstreams of one service shed at different levels. An attempt is in
      // where its own place lies below the share of the capacity that takes it.
      const spread = spreadOf(attemptId);
      const isOut = (name: string): boolean =>
        spread >= board.takingRatio(name, importance);
      if (isOut(service)) return service;
      for (const [deeper, count] of tree) {
        if (count >= RELEVANT_COUNT && isOut(deeper)) return deeper;
      }
      return undefined;
    },
  };
}
