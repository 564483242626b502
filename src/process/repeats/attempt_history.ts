/**
 * Upstreams that a request has been offered to, and whether another offer is allowed.
 *
 * Load patterns: a service is full, and each further offer costs time; its upstreams
 * reject a share of what they are handed though they have room, and a retry is served.
 */

/** What became of an offer. */
export type OfferOutcome =
  /** The upstream began to work on it, or may have. */
  | 'ran'
  /** The upstream was handed it and says that it did not run. */
  | 'rejected'
  /** Its node has no room for it. */
  | 'full'
  /** Its node refuses for another reason, or is out of reach. */
  | 'refused';

/** Offers of one request. */
export interface AttemptHistory {
  /** Upstreams that it must not be offered to. */
  readonly excludedIds: ReadonlySet<string>;
  /** Upstreams that may have worked on it. */
  readonly ranCount: number;
  /** Upstreams that were handed it. */
  readonly deliveredCount: number;
  /** It may be offered once more. */
  readonly canOffer: boolean;
  begin(upstreamId: string): void;
  end(how: OfferOutcome): void;
  /** Allows offers to those that rejected it; false if there are none. */
  readmitRejectingUpstreams(): boolean;
  /** Allows offers to all. */
  readmitAllUpstreams(): void;
}

/** Offers of one request, refusals included. */
const MAX_OFFERS_COUNT = 4;

/**
 * Refusals for load after which the service as a whole counts as full. With fewer,
 * fast upstreams refuse and a slow one with free slots is never tried.
 */
const MAX_FULL_COUNT = 3;

/** Rejections after which a request is abandoned. */
const MAX_REJECTED_COUNT = 8;

/** Creates the history of a request that has not been offered yet. */
export function createAttemptHistory(): AttemptHistory {
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
    get deliveredCount() {
      return ranCount + rejectedCount;
    },
    get canOffer() {
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
    readmitRejectingUpstreams: () => {
      const hasAny = rejectingIds.size > 0;
      for (const id of rejectingIds) excludedIds.delete(id);
      rejectingIds.clear();
      return hasAny;
    },
    readmitAllUpstreams: () => {
      excludedIds.clear();
      rejectingIds.clear();
    },
  };
}
