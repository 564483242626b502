/**
 * What a node has learned about one start of an upstream from its own attempts.
 */
import type {UpstreamStart} from '../membership/upstream_start.js';

/** How an attempt ended, as far as the choice of upstreams is concerned. */
export type AttemptOutcome =
  | 'served'
  /** The upstream answered with a failure of its own, or broke off. */
  | 'failed'
  /** The node or the upstream could not be reached, or is leaving. */
  | 'unreachable'
  /** Nothing about the upstream follows. */
  | 'neutral';

/** What was learned about one start; a later one begins without it. */
export interface UpstreamStats {
  readonly start: UpstreamStart;
  ownInFlightCount: number;
  /** As reported last, kept when the report itself has aged. */
  averageMillis: number | undefined;
  slownessRatio: number | undefined;
  lastSentMillis: number;
  /** Share of recent attempts that failed. */
  failedRatio: number;
  failuresInARow: number;
  avoidUntilMillis: number;
}

/** Weight of one new sample in the share of failures: about the last ten. */
const FAILED_WEIGHT = 0.1;

/** First and longest time for which an unreachable upstream is left alone. */
const MIN_AVOID_MILLIS = 150;
const MAX_AVOID_MILLIS = 1200;

/** Learns from the end of an attempt. */
export function recordAttemptOutcome(
  record: UpstreamStats,
  how: AttemptOutcome,
  now: number,
): void {
  if (how === 'neutral') return;
  const sample = how === 'failed' ? 1 : 0;
  record.failedRatio += (sample - record.failedRatio) * FAILED_WEIGHT;
  if (how !== 'unreachable') {
    record.failuresInARow = 0;
    return;
  }
  // What was on its way when the upstream was lost fails at the same moment and
  // counts once.
  if (record.avoidUntilMillis > now) return;
  const avoidMillis = Math.min(
    MAX_AVOID_MILLIS,
    MIN_AVOID_MILLIS * 2 ** record.failuresInARow,
  );
  record.failuresInARow += 1;
  record.avoidUntilMillis = now + avoidMillis;
}
