/**
 * Slots that less important classes leave free.
 */

/** Guards against rounding 0.3 + 0.7 and the like to one slot too few. */
const ROUNDING_RATIO = 1e-9;

/**
 * Slots a class may use out of a limit: all but those reserved for more
 * important classes. At least 1, so that no reserve shuts a class out of an
 * idle host, and never more than a more important class may use.
 */
export function classLimitCount(
  reservedRatios: readonly number[],
  classIndex: number,
  limitCount: number,
): number {
  const reservedRatio = reservedRatios
    .slice(0, classIndex)
    .reduce((sum, ratio) => sum + ratio, 0);
  const share = Math.max(0, 1 - reservedRatio) + ROUNDING_RATIO;
  return Math.max(1, Math.floor(limitCount * share));
}
