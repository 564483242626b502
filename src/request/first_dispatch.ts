/**
 * Holds requests back while the first one that names an id is at the upstream.
 *
 * Load pattern: after a loss of power all upstreams are there again under new ids
 * while the former ones are still listed, and clients come at once. Each request
 * that is dispatched under an id that the upstream rejects has to be dispatched
 * once more, which the fleet's bound on repeats counts.
 */

/** When a request may be dispatched. */
export type DispatchTurn =
  /** At once: it is the first one that names its id. */
  | 'first'
  /** At once: the upstream has said whether it goes by that id, or was too slow. */
  | 'settled'
  /** When this resolves, after `HOLD_MILLIS` at the latest. */
  | Promise<void>;

/** First dispatches of one start of the upstream. */
export interface FirstDispatches {
  /** Asks whether a request that names an id may go. */
  acquireTurn(upstreamId: string): DispatchTurn;
  /** The upstream has said whether it goes by this id. */
  settle(upstreamId: string): void;
  /** Nothing is known of the upstream, which may have started again. */
  reset(): void;
}

/**
 * Longest time for which requests are held: a denial needs one round trip within
 * the host, a millisecond, and an upstream that has just started is several times
 * slower. One that goes by the id answers only when it has run the request.
 */
const HOLD_MILLIS = 20;

/**
 * Turns of the loop that must have passed as well. A process that is short of
 * processor time finds its timers due before it has read what came meanwhile: beside
 * a load of twice the processors 7 of 12 bursts of 60 reads were let go before the
 * denial was read, and up to five of the reads refused.
 */
const HOLD_TURNS_COUNT = 8;

/** Ids remembered; requests name one or two for each start of the upstream. */
const MAX_IDS_COUNT = 64;

interface FirstDispatch {
  readonly settled: Promise<void>;
  readonly settle: () => void;
  isSettled: boolean;
}

/** Creates a record that knows of no id. */
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
      firsts.set(upstreamId, openFirst());
      return 'first';
    },
    settle: upstreamId => firsts.get(upstreamId)?.settle(),
    reset,
  };
}

function openFirst(): FirstDispatch {
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
    settleAfterTurns(first, HOLD_TURNS_COUNT);
  }, HOLD_MILLIS);
  return first;
}

function settleAfterTurns(first: FirstDispatch, turnsCount: number): void {
  if (turnsCount === 0) first.settle();
  else setImmediate(settleAfterTurns, first, turnsCount - 1);
}
