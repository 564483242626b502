/**
 * Importance of a client's attempt: one number that every call made for it
 * carries, so that all services shed the same requests.
 *
 * Shedding by rank alone takes a whole rank at once; shedding each call by
 * chance ruins a request of many calls almost surely. The rank is therefore
 * divided into buckets by the attempt's id: a request is in or out at every
 * service alike, and a service can shed a sixty-fourth of a rank.
 */
import {fnvHash} from '../../base/fnv_hash.js';

/** Steps within one rank; one step is 1.6% of its traffic. */
export const BUCKETS_COUNT = 64;

/** Ranks beyond this one are treated alike. */
const MAX_RANK = 7;

/** The least important value. */
export const LEAST_IMPORTANT = (MAX_RANK + 1) * BUCKETS_COUNT - 1;

/** Low bits of the hash that place an attempt apart from its bucket. */
const SPREAD_BITS = 12;
const SPREAD_MASK = 2 ** SPREAD_BITS - 1;

/** Importance of an attempt; lower is more important. */
export function importanceOf(rank: number, attemptId: string): number {
  const bounded = Math.min(MAX_RANK, Math.max(0, Math.floor(rank)));
  return bounded * BUCKETS_COUNT + bucketOf(attemptId);
}

/** A request as far as its rank is concerned. */
export interface RankedRequest {
  readonly routeRank: number;
  /** Rank of the least important routes. */
  readonly lowestRouteRank: number;
  /** `undefined` where clients have no organisation. */
  readonly organisationRank: number | undefined;
}

/** Rank of a request: that of its organisation first, then that of its route. */
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

/** Place of an attempt in [0, 1), independent of its bucket. */
export function uniformHashOf(attemptId: string): number {
  return (fnvHash(attemptId) & SPREAD_MASK) / (SPREAD_MASK + 1);
}

function bucketOf(attemptId: string): number {
  return (fnvHash(attemptId) >>> SPREAD_BITS) % BUCKETS_COUNT;
}
