/**
 * Whom a request has been offered to, and whether it may be offered once more.
 *
 * Load patterns: a service is full, and each further question costs time; its
 * upstreams reject a share of what they are handed though they have room, and
 * who asks again is served.
 */

/** What became of an offer. */
export type OfferEnd =
  /** The upstream began to work on it, or may have. */
  | 'ran'
  /** The upstream was handed it and says that it did not run. */
  | 'rejected'
  /** Its node has no room for it. */
  | 'full'
  /** Its node refuses for another reason, or is out of reach. */
  | 'refused';

/** Offers of one request. */
export interface OfferCourse {
  /** Upstreams that it must not be offered to. */
  readonly excludedIds: ReadonlySet<string>;
  /** Upstreams that may have worked on it. */
  readonly ranCount: number;
  /** Upstreams that were handed it. */
  readonly handedCount: number;
  /** It may be offered once more. */
  readonly mayOffer: boolean;
  begin(upstreamId: string): void;
  end(how: OfferEnd): void;
  /** Lets those that rejected it be asked again; false if there are none. */
  readmitRejecting(): boolean;
  /** Lets all be asked again. */
  readmitAll(): void;
}

/**
 * Upstreams that one request is offered to, refusals counted: beyond a few the
 * whole service is full, and each further question costs time.
 */
const MAX_OFFERS_COUNT = 4;

/**
 * Refusals for load after which the service as a whole counts as full. With two,
 * the fast upstreams refuse and a slow one with free slots is never asked: in a
 * replay of a burst all 211 refused reads of four seconds were refused so.
 */
const MAX_FULL_COUNT = 3;

/**
 * Rejections after which it is given up. Of requests that are rejected more
 * often than not, one in a hundred is rejected so many times.
 */
const MAX_REJECTED_COUNT = 8;

/** Creates the course of a request that has been offered to nobody. */
export function createOfferCourse(): OfferCourse {
  const excludedIds = new Set<string>();
  const rejectingIds = new Set<string>();
  let lastId = '';
  let ranCount = 0;
  let rejectedCount = 0;
  let fullCount = 0;
  let refusedCount = 0;
  return {
    excludedIds,
    get ranCount() {
      return ranCount;
    },
    get handedCount() {
      return ranCount + rejectedCount;
    },
    get mayOffer() {
      return (
        ranCount + fullCount + refusedCount < MAX_OFFERS_COUNT &&
        fullCount < MAX_FULL_COUNT &&
        rejectedCount < MAX_REJECTED_COUNT
      );
    },
    begin: upstreamId => {
      lastId = upstreamId;
      excludedIds.add(upstreamId);
    },
    end: how => {
      if (how === 'ran') ranCount += 1;
      else if (how === 'full') fullCount += 1;
      else if (how === 'refused') refusedCount += 1;
      else {
        rejectedCount += 1;
        rejectingIds.add(lastId);
      }
    },
    readmitRejecting: () => {
      const hasAny = rejectingIds.size > 0;
      for (const id of rejectingIds) excludedIds.delete(id);
      rejectingIds.clear();
      return hasAny;
    },
    readmitAll: () => {
      excludedIds.clear();
      rejectingIds.clear();
    },
  };
}
