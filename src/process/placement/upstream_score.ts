/**
 * How well an upstream suits a request: the time in which it is expected to
 * answer, with failures and distance counted as time; the least is chosen.
 */
import type {LoadReport} from '../admission/load_table.js';
import type {KnownUpstream} from '../membership/known_upstream.js';
import type {UpstreamSnapshot} from './expected_answer.js';
import {busyRatioOf, expectedAnswerMillis} from './expected_answer.js';
import type {UpstreamStats} from './upstream_stats.js';
import {sameZoneAllowanceMillis} from './zone_preference.js';

/** What a request wants of its upstream. */
export interface PlacementGoal {
  /** Time in which an answer has its full value. */
  readonly objectiveMillis: number;
  /** Mean time of answers to its like, if any has come. */
  readonly usualMillis: number | undefined;
}

/** Where the sender is. */
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
  /** Mean time for which one of all its requests holds a slot. */
  readonly averageMillis: number;
  /** Left out, nothing is known of the request. */
  readonly goal: PlacementGoal | undefined;
  /** Uniform in [0, 1). */
  readonly noise: number;
  readonly now: number;
}

/** Expected to add to an answer: a round trip, and bytes between zones. */
const SAME_ZONE_MILLIS = 1;
const OTHER_ZONE_MILLIS = 6;
const OTHER_REGION_MILLIS = 40;

/**
 * Share by which an upstream in another zone must be expected to answer sooner:
 * bytes between zones are paid for, and users do not notice less.
 */
const OTHER_ZONE_RATIO = 0.2;

/**
 * Time that a certain failure costs: what a repeat elsewhere takes, 400 ms, at
 * the weight of a wait, so that a request that can wait is not sent where it fails.
 */
const FAILURE_MILLIS = 1600;

/** Random part of a score, so that nodes with equal pictures spread. */
const NOISE_RATIO = 0.1;

/** Score of an upstream for a request that begins at a place. */
export function upstreamScore(
  place: SenderLocation,
  scored: UpstreamCandidate,
): number {
  const {upstream, stats, goal} = scored;
  const state = expectationOf(scored);
  const answerMillis = expectedAnswerMillis(state);
  const failureMillis = stats.failedRatio * FAILURE_MILLIS;
  const noise = 1 + NOISE_RATIO * scored.noise;
  const expected = (answerMillis + failureMillis) * noise;
  const distance = distanceMillis(place, upstream);
  if (upstream.entry.zone !== place.zone) {
    return expected * (1 + OTHER_ZONE_RATIO) + distance;
  }
  if (goal === undefined) return expected + distance;
  const allowance = sameZoneAllowanceMillis({
    objectiveMillis: goal.objectiveMillis,
    expectedMillis: answerMillis,
    busyRatio: busyRatioOf(state),
  });
  return expected + distance - allowance;
}

/** A request's own time, where its like is known, does not depend on the mix. */
function expectationOf(scored: UpstreamCandidate): UpstreamSnapshot {
  const {upstream, stats, report, averageMillis, goal, now} = scored;
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

function distanceMillis(place: SenderLocation, {entry}: KnownUpstream): number {
  if (entry.hostKey === place.hostKey) return 0;
  if (entry.zone === place.zone) return SAME_ZONE_MILLIS;
  return entry.region === place.region
    ? OTHER_ZONE_MILLIS
    : OTHER_REGION_MILLIS;
}
