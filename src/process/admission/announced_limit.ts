/**
 * Limit of requests per second that the upstream of this host announces.
 *
 * Load pattern: an upstream in need announces a small limit for some seconds.
 * Responses overtake one another: a long request that was sent before the limit
 * applied may be answered without it after others have announced it. Responses
 * are therefore ordered by the time at which their requests were sent.
 */

/** Announced limit of one upstream. */
export interface AnnouncedLimit {
  /** Requests per second from all nodes together; `undefined` if unlimited. */
  readonly perSecond: number | undefined;
  /** Time since the last response that confirmed or changed it. */
  ageMillis(): number;
  /**
   * Records the limit of a response, `undefined` if it announces none; returns
   * whether the limit has changed.
   */
  observe(perSecond: number | undefined, sentMillis: number): boolean;
}

/** Creates the limit of an upstream that has not announced any. */
export function createAnnouncedLimit(nowMillis: () => number): AnnouncedLimit {
  let limitPerSecond: number | undefined;
  let latestSentMillis = -Infinity;
  let observedMillis = nowMillis();
  return {
    get perSecond() {
      return limitPerSecond;
    },
    ageMillis: () => nowMillis() - observedMillis,
    observe: (perSecond, sentMillis) => {
      if (sentMillis < latestSentMillis) return false;
      latestSentMillis = sentMillis;
      observedMillis = nowMillis();
      if (perSecond === limitPerSecond) return false;
      limitPerSecond = perSecond;
      return true;
    },
  };
}
