/**
 * Identity of one start of an upstream, and the order of two starts.
 */

/** One start of one upstream. */
export interface UpstreamStart {
  /** Id of the upstream, which it may keep when it starts again. */
  readonly id: string;
  /** Unix time of the start; `undefined` if its publisher omits it. */
  readonly bornMillis: number | undefined;
}

/** How one start stands to another one. */
export type StartOrder = 'same' | 'later' | 'earlier' | 'unknown';

/**
 * Order of `start` against `other`, under one id or at one host. Births decide;
 * under one id a publisher that omits it is the older one. Two ids of which
 * one has no birth, or with the same birth, have no order.
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

/** Whether both are one and the same start. */
export function isSameStart(
  start: UpstreamStart,
  other: UpstreamStart,
): boolean {
  return compareStarts(start, other) === 'same';
}
