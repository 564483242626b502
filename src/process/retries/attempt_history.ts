/**
 * Tracks the upstreams to which a request has been offered, and whether another
 * offer is allowed.
 *
 * Load patterns: a service is full, and each further offer costs time; or its
 * upstreams reject a share of the requests despite free capacity, and a retry
 * succeeds.
 */

/** Outcome of an offer. */
export type OfferOutcome =
  /** The upstream started to process the request, or may have. */
  | 'ran'
  /** The upstream received the request and reports that it did not run it. */
  | 'rejected'
  /** The upstream's node has no free capacity. */
  | 'full'
  /** The upstream's node refused it for another reason, or is unreachable. */
  | 'refused';

/** Offers of one request. */
export interface AttemptHistory {
  /** Upstreams to which the request must not be offered. */
  readonly excludedIds: ReadonlySet<string>;
  /** Upstreams that may have processed the request. */
  readonly ranCount: number;
  /** Upstreams that received the request. */
  readonly deliveredCount: number;
  /** Whether another offer is allowed. */
  readonly canOffer: boolean;
  begin(upstreamId: string): void;
  end(outcome: OfferOutcome): void;
  /**
   * Allows offers to the upstreams that rejected it; returns false if there are
   * none.
   */
  readmitRejectingUpstreams(): boolean;
  /** Allows offers to all upstreams. */
  readmitAllUpstreams(): void;
}

/** Maximum offers of one request, including refused ones. */
const MAX_OFFERS_COUNT = 4;

/**
 * Refusals for load after which the whole service is treated as full. With a
 * lower limit, fast upstreams refuse and a slow one with free slots is never
 * tried.
 */
const MAX_FULL_COUNT = 3;

/** Maximum rejections of one request. */
const MAX_REJECTED_COUNT = 8;

/**
 * Plain fields: accessors in an object literal make each history costly to create.
 */
interface MutableAttemptHistory extends AttemptHistory {
  ranCount: number;
  deliveredCount: number;
  canOffer: boolean;
}

/** Creates the history of a request that has not been offered yet. */
export function createAttemptHistory(): AttemptHistory {
  const excludedIds = new Set<string>();
  /** Most requests are never rejected, for which no set is allocated. */
  let rejectingIds: Set<string> | undefined;
  let lastId = '';
  let rejectedCount = 0;
  let fullCount = 0;
  let refusedCount = 0;
  const history: MutableAttemptHistory = {
    excludedIds,
    ranCount: 0,
    deliveredCount: 0,
    canOffer: true,
    begin: upstreamId => {
      lastId = upstreamId;
      excludedIds.add(upstreamId);
    },
    end: outcome => {
      if (outcome === 'ran') history.ranCount += 1;
      else if (outcome === 'full') fullCount += 1;
      else if (outcome === 'refused') refusedCount += 1;
      else {
        rejectedCount += 1;
        rejectingIds ??= new Set();
        rejectingIds.add(lastId);
      }
      history.deliveredCount = history.ranCount + rejectedCount;
      history.canOffer =
        history.ranCount + fullCount + refusedCount < MAX_OFFERS_COUNT &&
        fullCount < MAX_FULL_COUNT &&
        rejectedCount < MAX_REJECTED_COUNT;
    },
    readmitRejectingUpstreams: () => {
      if (rejectingIds === undefined) return false;
      for (const id of rejectingIds) excludedIds.delete(id);
      rejectingIds = undefined;
      return true;
    },
    readmitAllUpstreams: () => {
      excludedIds.clear();
      rejectingIds = undefined;
    },
  };
  return history;
}
