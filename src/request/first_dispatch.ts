/**
 * Delays requests for an upstream id while the first request with this id is in flight.
 *
 * Load pattern: after a power loss all upstreams restart with new ids while the old ids
 * are still listed, and clients send requests at once. Each request dispatched with an id
 * that the upstream rejects must be dispatched again, which counts against the fleet's
 * retry budget.
 */
import {afterLoopTurns} from '../base/io_timeout.js';

/** When a request may be dispatched. */
export type DispatchTurn =
  /** At once: first request with this id. */
  | 'first'
  /** At once: the upstream has confirmed or rejected the id, or the wait timed out. */
  | 'settled'
  /**
   * When the promise resolves: once the upstream has confirmed or rejected the id, at the
   * latest `HOLD_MILLIS` plus `HOLD_LOOP_TURNS_COUNT` turns after the first dispatch.
   */
  | Promise<void>;

/** First dispatch for each id of the upstream. */
export interface FirstDispatches {
  /** Decides when a request with this id may be dispatched. */
  acquireTurn(upstreamId: string): DispatchTurn;
  /** Records that the upstream has confirmed or rejected the id. */
  settle(upstreamId: string): void;
  /** Forgets all ids, because the upstream may have restarted. */
  reset(): void;
}

/**
 * Longest delay of a request. A rejection of the id takes one round trip within the host
 * (1 ms), and several times that from an upstream that has just started. An upstream that
 * accepts the id responds only after it has executed the request.
 */
const HOLD_MILLIS = 20;

/**
 * Event loop turns to wait in addition. A process that is short of CPU time runs expired
 * timers before it reads pending sockets. Without these turns, at a load of twice the
 * number of processors, a burst of 60 reads can be dispatched before the rejection is read,
 * and up to five of these reads are refused.
 */
const HOLD_LOOP_TURNS_COUNT = 8;

/** Maximum number of tracked ids; requests use one or two for each upstream start. */
const MAX_IDS_COUNT = 64;

interface FirstDispatch {
  readonly settled: Promise<void>;
  readonly settle: () => void;
  isSettled: boolean;
}

/** Creates an empty registry. */
export function createFirstDispatches(): FirstDispatches {
  const firsts = new Map<string, FirstDispatch>();

  const reset = (): void => {
    for (const first of firsts.values()) first.settle();
    firsts.clear();
  };

  return {
    acquireTurn: upstreamId => {
      const known = firsts.get(upstreamId);
      if (known !== undefined) {
        return known.isSettled ? 'settled' : known.settled;
      }
      if (firsts.size >= MAX_IDS_COUNT) reset();
      firsts.set(upstreamId, createFirstDispatch());
      return 'first';
    },
    settle: upstreamId => firsts.get(upstreamId)?.settle(),
    reset,
  };
}

function createFirstDispatch(): FirstDispatch {
  let resolve: () => void = () => undefined;
  const settled = new Promise<void>(onSettled => {
    resolve = onSettled;
  });
  const first: FirstDispatch = {
    settled,
    isSettled: false,
    settle: () => {
      if (first.isSettled) return;
      first.isSettled = true;
      clearTimeout(timer);
      resolve();
    },
  };
  const timer = setTimeout(() => {
    afterLoopTurns(HOLD_LOOP_TURNS_COUNT, first.settle);
  }, HOLD_MILLIS);
  return first;
}
