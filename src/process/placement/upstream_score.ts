/**
 * Scores the upstreams for a request by the expected response time, with
 * failures and distance converted to time; the lowest score is chosen.
 */
import type {LoadReport} from '../admission/load_table.js';
import type {KnownUpstream} from '../membership/known_upstream.js';
import type {UpstreamSnapshot} from './expected_response.js';
import {busyRatioOf, expectedResponseMillis} from './expected_response.js';
import type {UpstreamStats} from './upstream_stats.js';
import {sameZoneAllowanceMillis} from './zone_preference.js';

/** Latency goal of a request. */
export interface PlacementGoal {
  /** Time within which a response has its full value. */
  readonly objectiveMillis: number;
  /**
   * Mean response time of requests of its kind; `undefined` before the first
   * response.
   */
  readonly usualMillis: number | undefined;
}

/** Location of the sending node. */
export interface SenderLocation {
  readonly hostKey: string;
  readonly zone: string;
  readonly region: string;
}

/** An upstream that a request may be sent to. */
export interface UpstreamCandidate {
  readonly upstream: KnownUpstream;
  readonly stats: UpstreamStats;
  readonly report: LoadReport | undefined;
  /** Mean time for which its requests hold a slot. */
  readonly averageMillis: number;
  /** `undefined` if nothing is known of the request. */
  readonly goal: PlacementGoal | undefined;
  /** Uniform in [0, 1). */
  readonly noise: number;
  readonly now: number;
}

/**
 * Latency that distance adds to a response: a round trip, and the transfer
 * between zones.
 */
const SAME_ZONE_MILLIS = 1;
const OTHER_ZONE_MILLIS = 6;
const OTHER_REGION_MILLIS = 40;

/**
 * Ratio by which an upstream in another zone must be expected to respond
 * sooner: traffic between zones is billed, and users do not notice a smaller
 * difference.
 */
const OTHER_ZONE_RATIO = 0.2;

/**
 * Cost of an attempt that is sure to fail, as time: the 400 ms that a retry at
 * another upstream takes, at the weight of a wait, so that a request that can
 * wait is not sent where it fails.
 */
const FAILURE_MILLIS = 1600;

/**
 * Random part of a score, so that nodes with equal reports spread their
 * requests.
 */
const NOISE_RATIO = 0.1;

/** Score of an upstream for a request that is sent from a location. */
export function upstreamScore(
  location: SenderLocation,
  candidate: UpstreamCandidate,
): number {
  const {upstream, stats, goal} = candidate;
  const snapshot = snapshotOf(candidate);
  const responseMillis = expectedResponseMillis(snapshot);
  const failureMillis = stats.failedRatio * FAILURE_MILLIS;
  const noise = 1 + NOISE_RATIO * candidate.noise;
  const expected = (responseMillis + failureMillis) * noise;
  const distance = distanceMillis(location, upstream);
  if (upstream.entry.zone !== location.zone) {
    return expected * (1 + OTHER_ZONE_RATIO) + distance;
  }
  if (goal === undefined) return expected + distance;
  const allowance = sameZoneAllowanceMillis({
    objectiveMillis: goal.objectiveMillis,
    expectedMillis: responseMillis,
    busyRatio: busyRatioOf(snapshot),
  });
  return expected + distance - allowance;
}

/**
 * If the usual time of its kind is known, a request's own time does not depend
 * on the mix of requests at the upstream.
 */
function snapshotOf(candidate: UpstreamCandidate): UpstreamSnapshot {
  const {upstream, stats, report, averageMillis, goal, now} = candidate;
  const {ownInFlightCount, slownessRatio = 1} = stats;
  const usualMillis = goal?.usualMillis;
  return {
    upstream,
    ownInFlightCount,
    report,
    averageMillis,
    requestMillis:
      usualMillis === undefined ? averageMillis : usualMillis * slownessRatio,
    now,
  };
}

function distanceMillis(
  location: SenderLocation,
  {entry}: KnownUpstream,
): number {
  if (entry.hostKey === location.hostKey) return 0;
  if (entry.zone === location.zone) return SAME_ZONE_MILLIS;
  return entry.region === location.region
    ? OTHER_ZONE_MILLIS
    : OTHER_REGION_MILLIS;
}
