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

/** Hash of an attempt in [0, 1), independent of its bucket. */
export function uniformHashOf(attemptId: string): number {
  return (fnvHash(attemptId) & UNIFORM_HASH_MASK) / (UNIFORM_HASH_MASK + 1);
}

function bucketOf(attemptId: string): number {
  return (fnvHash(attemptId) >>> UNIFORM_HASH_BITS) % BUCKETS_COUNT;
}
