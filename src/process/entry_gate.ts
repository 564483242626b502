/**
 * Decides at the entry whether a client's request is let in, by the levels of
 * all services that it will reach.
 *
 * Load pattern: demand on a service deep in the graph exceeds what it can do.
 * A request that it would refuse is turned away here, where nothing has been
 * done for it yet; what is let in is carried through.
 */
import type {CallCounts} from './call_trees.js';
import type {LoadBoard} from './load_board.js';

/** The gate. */
export interface EntryGate {
  /** The service because of which a request stays out, if there is one. */
  sheddingService(
    importance: number,
    service: string,
    tree: CallCounts,
  ): string | undefined;
}

/** Calls of one request below which a service does not decide about it. */
const RELEVANT_COUNT = 0.2;

/** Creates a gate over what has been heard of loads. */
export function createEntryGate(board: LoadBoard): EntryGate {
  return {
    sheddingService: (importance, service, tree) => {
      if (importance > board.levelOf(service)) return service;
      for (const [deeper, count] of tree) {
        if (count < RELEVANT_COUNT) continue;
        if (importance > board.levelOf(deeper)) return deeper;
      }
      return undefined;
    },
  };
}
