/**
 * How much longer an upstream of the sender's zone may take than one in another
 * zone.
 *
 * Load pattern: the upstreams of a service differ in speed, and each zone has
 * one or a few. A read with an objective of a second and a half is served well
 * by a slow upstream in its zone; sent to the fastest one, nearly all responses
 * would cross zones, which is billed. A request that would hardly be in time,
 * or would find no free slot, goes to the upstream with the lowest expected
 * response time.
 */

/** A request and an upstream of the sender's zone. */
export interface SameZoneCandidate {
  /** Time within which a response has its full value. */
  readonly objectiveMillis: number;
  /** Time in which this upstream is expected to respond to the request. */
  readonly expectedMillis: number;
  /** Share of its slots in use. */
  readonly busyRatio: number;
}

/**
 * Share of the objective that a response may take longer to stay in the zone.
 */
const SAME_ZONE_ALLOWANCE_RATIO = 0.1;

/**
 * Safety factor on the expected time. Of the requests that are expected to take
 * half of their objective, some take all of it: processing and waiting times of
 * one kind of request vary by a factor of two and more.
 */
const SAFETY_RATIO = 2;

/** Additional response time that is accepted to stay in the zone. */
export function sameZoneAllowanceMillis(candidate: SameZoneCandidate): number {
  const {objectiveMillis, expectedMillis, busyRatio} = candidate;
  const spareMillis = objectiveMillis - SAFETY_RATIO * expectedMillis;
  const allowanceMillis = Math.min(
    SAME_ZONE_ALLOWANCE_RATIO * objectiveMillis,
    spareMillis,
  );
  const freeRatio = 1 - Math.min(1, busyRatio);
  return Math.max(0, allowanceMillis) * freeRatio;
}
