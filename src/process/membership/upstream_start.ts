/**
 * Identity of one start of an upstream, and the order of two starts.
 */

/** One start (process run) of one upstream. */
export interface UpstreamStart {
  /** Id of the upstream, which may stay the same across restarts. */
  readonly id: string;
  /** Unix time of the start; `undefined` if the publisher omits it. */
  readonly bornMillis: number | undefined;
}

/** Order of one start relative to another. */
export type StartOrder = 'same' | 'later' | 'earlier' | 'unknown';

/**
 * Compares `start` with `other`, which have the same id or the same host. The
 * start times decide; of two with the same id, one without a start time is the
 * earlier one. Two ids have no order if a start time is missing or both are
 * equal.
 */
export function compareStarts(
  start: UpstreamStart,
  other: UpstreamStart,
): StartOrder {
  const isSameId = start.id === other.id;
  if (isSameId && start.bornMillis === other.bornMillis) return 'same';
  if (start.bornMillis === undefined) return isSameId ? 'earlier' : 'unknown';
  if (other.bornMillis === undefined) return isSameId ? 'later' : 'unknown';
  if (start.bornMillis === other.bornMillis) return 'unknown';
  return start.bornMillis > other.bornMillis ? 'later' : 'earlier';
}

/** Returns whether both identify the same start. */
export function isSameStart(
  start: UpstreamStart,
  other: UpstreamStart,
): boolean {
  return compareStarts(start, other) === 'same';
}
