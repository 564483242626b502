/**
 * How much longer an upstream of the own zone may take than one elsewhere.
 *
 * Load pattern: upstreams of a service differ in speed, and each zone has one or
 * a few. A read that has a second and a half is answered well by the slow one
 * next to it; sent to the fastest, nearly all answers cross between zones, which
 * is paid for. What would hardly be in time, and what would find no free slot,
 * goes where it is answered first.
 */

/** A request and an upstream of the own zone. */
export interface SameZoneCandidate {
  /** Time in which an answer has its full value. */
  readonly objectiveMillis: number;
  /** Time in which this upstream is expected to answer it. */
  readonly expectedMillis: number;
  /** Share of its slots in use. */
  readonly busyRatio: number;
}

/** Share of the objective that an answer may take longer for being near. */
const NEAR_RATIO = 0.1;

/**
 * Of what is expected to take half of its objective, a part takes all of it:
 * work and waits of one kind of request differ by a factor of two and more.
 */
const SPREAD_RATIO = 2;

/** Time that may be spent for staying in the zone. */
export function sameZoneAllowanceMillis(candidate: SameZoneCandidate): number {
  const {objectiveMillis, expectedMillis, busyRatio} = candidate;
  const spareMillis = objectiveMillis - SPREAD_RATIO * expectedMillis;
  const wantedMillis = Math.min(NEAR_RATIO * objectiveMillis, spareMillis);
  const freeRatio = 1 - Math.min(1, busyRatio);
  return Math.max(0, wantedMillis) * freeRatio;
}
