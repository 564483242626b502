/**
 * Paces the requests that are dispatched to the upstream of this host, so that
 * all nodes together keep to the limit that it announces. Every request for an
 * upstream passes the node on its host, so no other node has to know the limit.
 *
 * Load pattern: an upstream in need announces a few requests per second, for
 * which many nodes have several times as many. The requests beyond the limit
 * are refused at once or wait in order of importance.
 *
 * A node that has just started does not know whether its upstream has announced
 * a limit, and must not fill all of its slots before the first response. Until
 * then the requests in flight grow with time, so that an upstream whose first
 * requests take long is not idle.
 */

/** Paces dispatches. */
export interface DispatchPacer {
  /** Takes the permit for one dispatch; false if none is available now. */
  tryTake(): boolean;
  /** Records a dispatch that does not wait for a permit. */
  takeUnchecked(): void;
  /** Returns the permit of a request that was not dispatched. */
  refund(): void;
  /** Time until this number of permits is available. */
  waitMillis(permitsCount: number): number;
  /** Records a response of the upstream. */
  recordResponse(): void;
  /** Maximum number of requests in flight, besides the number of slots. */
  maxInFlightCount(): number;
  /** Time after which another start may be possible with this many in flight. */
  nextStartMillis(inFlightCount: number): number;
  /** Permits per second; `undefined` if dispatches are not limited. */
  readonly perSecond: number | undefined;
}

/** Dependencies of a pacer. */
export interface DispatchPacerOptions {
  /** Limit that the upstream announces; `undefined` if none. */
  readonly limitPerSecond: () => number | undefined;
  readonly nowMillis: () => number;
}

/**
 * Lowest rate: an upstream that gets no requests at all could not announce the
 * end of its limit.
 */
const MIN_PER_SECOND = 0.25;

/** Permits that accumulate while none are taken, as a time at the limit. */
const BURST_MILLIS = 250;
const MIN_BURST_COUNT = 1;

/** Requests in flight at the first dispatch, and the time in which they double. */
const UNPROVEN_IN_FLIGHT_COUNT = 3;
const UNPROVEN_DOUBLING_MILLIS = 1000;

/** Resolution of timers. */
const MIN_START_INTERVAL_MILLIS = 1;

/** Interval at which waiting requests are started while that number grows. */
const UNPROVEN_START_INTERVAL_MILLIS = 50;

const MILLIS_PER_SECOND = 1000;

/** Creates the pacer of a node that has just started. */
export function createDispatchPacer(
  options: DispatchPacerOptions,
): DispatchPacer {
  const {limitPerSecond, nowMillis} = options;
  let hasResponded = false;
  let wasLimited = false;
  let permits = 0;
  let refilledMillis = 0;
  let firstDispatchMillis: number | undefined;

  const currentRate = (): number | undefined => {
    const limit = limitPerSecond();
    return limit === undefined ? undefined : Math.max(MIN_PER_SECOND, limit);
  };

  /**
   * Adds the permits of the time since the last call. A new limit begins
   * without permits: the upstream has just received its unlimited load.
   */
  const refill = (rate: number): void => {
    const now = nowMillis();
    const elapsedMillis = wasLimited ? now - refilledMillis : 0;
    const burst = Math.max(
      MIN_BURST_COUNT,
      (rate * BURST_MILLIS) / MILLIS_PER_SECOND,
    );
    const added = (elapsedMillis * rate) / MILLIS_PER_SECOND;
    permits = wasLimited ? Math.min(burst, permits + added) : 0;
    refilledMillis = now;
    wasLimited = true;
  };

  /** Adds to the permits if a limit applies. */
  const change = (difference: number): void => {
    const rate = currentRate();
    if (rate === undefined) {
      wasLimited = false;
      return;
    }
    refill(rate);
    permits += difference;
  };

  const maxInFlightCount = (): number => {
    if (hasResponded) return Infinity;
    const sinceMillis = nowMillis() - (firstDispatchMillis ?? nowMillis());
    const growth = 2 ** (sinceMillis / UNPROVEN_DOUBLING_MILLIS);
    return Math.floor(UNPROVEN_IN_FLIGHT_COUNT * growth);
  };

  const waitMillis = (permitsCount: number): number => {
    const rate = currentRate();
    if (rate === undefined) return 0;
    refill(rate);
    const missing = Math.max(0, permitsCount - permits);
    return (missing * MILLIS_PER_SECOND) / rate;
  };

  return {
    tryTake: () => {
      firstDispatchMillis ??= nowMillis();
      const rate = currentRate();
      if (rate === undefined) {
        wasLimited = false;
        return true;
      }
      refill(rate);
      if (permits < 1) return false;
      permits -= 1;
      return true;
    },
    takeUnchecked: () => {
      change(-1);
    },
    refund: () => {
      change(1);
    },
    waitMillis,
    recordResponse: () => {
      hasResponded = true;
    },
    maxInFlightCount,
    nextStartMillis: inFlightCount =>
      inFlightCount < maxInFlightCount()
        ? Math.max(MIN_START_INTERVAL_MILLIS, waitMillis(1))
        : UNPROVEN_START_INTERVAL_MILLIS,
    get perSecond() {
      return currentRate();
    },
  };
}
