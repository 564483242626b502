/** Statistics of one start of an upstream, from the attempts of this node. */
import type {UpstreamStart} from '../membership/upstream_start.js';

/** Outcome of an attempt as far as the choice of upstreams is concerned. */
export type AttemptOutcome =
  | 'served'
  /** The upstream responded with a failure or aborted its response. */
  | 'failed'
  /** The node or the upstream could not be reached, or is leaving. */
  | 'unreachable'
  /** The outcome says nothing about the upstream. */
  | 'neutral';

/**
 * Statistics of one start of an upstream; a later start begins without them.
 */
export interface UpstreamStats {
  readonly start: UpstreamStart;
  ownInFlightCount: number;
  /** Last reported value, kept when the report itself is outdated. */
  averageMillis: number | undefined;
  slownessRatio: number | undefined;
  lastSentMillis: number;
  /** Share of recent attempts that failed. */
  failedRatio: number;
  failuresInARow: number;
  avoidUntilMillis: number;
}

/** Weight of one sample in the failure ratio: about the last ten count. */
const FAILED_WEIGHT = 0.1;

/** First and longest time for which an unreachable upstream is avoided. */
const MIN_AVOID_MILLIS = 150;
const MAX_AVOID_MILLIS = 1200;

/** Updates the statistics with the outcome of an attempt. */
export function recordAttemptOutcome(
  stats: UpstreamStats,
  outcome: AttemptOutcome,
  now: number,
): void {
  if (outcome === 'neutral') return;
  const sample = outcome === 'failed' ? 1 : 0;
  stats.failedRatio += (sample - stats.failedRatio) * FAILED_WEIGHT;
  if (outcome !== 'unreachable') {
    stats.failuresInARow = 0;
    return;
  }
  // Attempts in flight when the upstream became unreachable fail at the same
  // moment and count once.
  if (stats.avoidUntilMillis > now) return;
  const avoidMillis = Math.min(
    MAX_AVOID_MILLIS,
    MIN_AVOID_MILLIS * 2 ** stats.failuresInARow,
  );
  stats.failuresInARow += 1;
  stats.avoidUntilMillis = now + avoidMillis;
}
