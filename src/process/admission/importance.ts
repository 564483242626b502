/**
 * Importance of a client's attempt: one number that every call made for it
 * carries, so that all services shed the same requests.
 *
 * Shedding by rank alone rejects a whole rank at once; shedding each call at
 * random makes a request with many calls fail almost certainly. Each rank is
 * therefore divided into buckets by a hash of the attempt id: all services
 * admit or reject the same requests, and a service can shed a sixty-fourth of a
 * rank.
 */
import {fnvHash} from '../../base/fnv_hash.js';

/** Buckets of one rank; one bucket is 1.6% of its traffic. */
export const BUCKETS_COUNT = 64;

/** Higher ranks are treated like this one. */
const MAX_RANK = 7;

/** The least important value. */
export const LEAST_IMPORTANT = (MAX_RANK + 1) * BUCKETS_COUNT - 1;

/**
 * Buckets of each lower rank that are its minimum share, an eighth: they are shed
 * with more important ranks, which could otherwise use all of the capacity.
 */
const MIN_SHARE_BUCKETS_COUNT = 8;

/** Part of the first rank over which the minimum shares are spread. */
const FIRST_RANK_SPREAD_COUNT = 48;

/**
 * Positions in the previous rank at which the second half of a minimum share is
 * shed: if it does not fit either, it goes before that rank does.
 */
const PREVIOUS_RANK_POSITION = 40;
const PREVIOUS_RANK_STEP_COUNT = 7;

/** Low bits of the hash, which do not depend on the bucket. */
const UNIFORM_HASH_BITS = 12;
const UNIFORM_HASH_MASK = 2 ** UNIFORM_HASH_BITS - 1;

/** Importance of an attempt; lower is more important. */
export function importanceOf(rank: number, attemptId: string): number {
  const bounded = Math.min(MAX_RANK, Math.max(0, Math.floor(rank)));
  return bounded * BUCKETS_COUNT + bucketOf(attemptId);
}

/** Ranks from which the rank of a request is derived. */
export interface RankedRequest {
  readonly routeRank: number;
  /** Rank of the least important routes. */
  readonly lowestRouteRank: number;
  /** `undefined` if clients have no organisation. */
  readonly organisationRank: number | undefined;
}

/**
 * Rank of a request: ordered by the rank of its organisation, then by that of
 * its route.
 */
export function rankOfRequest({
  routeRank,
  lowestRouteRank,
  organisationRank = 0,
}: RankedRequest): number {
  return organisationRank * (lowestRouteRank + 1) + routeRank;
}

/** The rank that an importance belongs to. */
export function rankOf(importance: number): number {
  return Math.floor(importance / BUCKETS_COUNT);
}

/** Bucket of an importance within its rank. */
export function bucketOfImportance(importance: number): number {
  return importance - rankOf(importance) * BUCKETS_COUNT;
}

/**
 * Position at which admission levels shed a request: its importance, unless it
 * belongs to the minimum share of its rank.
 */
export function shedPositionOf(importance: number): number {
  const rank = rankOf(importance);
  const bucket = bucketOfImportance(importance);
  if (rank === 0 || bucket >= MIN_SHARE_BUCKETS_COUNT) return importance;
  const firstRankCount = bucketsShedWithFirstRank(rank);
  if (bucket < firstRankCount) {
    return Math.floor((bucket * FIRST_RANK_SPREAD_COUNT) / firstRankCount);
  }
  const index = bucket - firstRankCount;
  const previousRank = (rank - 1) * BUCKETS_COUNT;
  return (
    previousRank + PREVIOUS_RANK_POSITION + index * PREVIOUS_RANK_STEP_COUNT
  );
}

/**
 * Whether a request of a lower rank counts as one of the first rank once it has
 * waited for a part of its time.
 */
export function isPromotable(importance: number): boolean {
  const rank = rankOf(importance);
  const bucket = bucketOfImportance(importance);
  return rank > 0 && bucket < bucketsShedWithFirstRank(rank);
}

/** Hash of an attempt in [0, 1), independent of its bucket. */
export function uniformHashOf(attemptId: string): number {
  return (fnvHash(attemptId) & UNIFORM_HASH_MASK) / (UNIFORM_HASH_MASK + 1);
}

function bucketOf(attemptId: string): number {
  return (fnvHash(attemptId) >>> UNIFORM_HASH_BITS) % BUCKETS_COUNT;
}

function bucketsShedWithFirstRank(rank: number): number {
  return rank === 1 ? MIN_SHARE_BUCKETS_COUNT : MIN_SHARE_BUCKETS_COUNT / 2;
}
