/**
 * Sums over a sliding window of parts, and over the windows before it.
 *
 * The bound on repeats counts requests in its window, in the one before it or in
 * the one half a window before it, whichever has most. A service whose requests
 * are refused early would otherwise lose its repeats with them.
 */

/** A sum over windows. */
export interface WindowSum {
  /** Adds to a part; parts are numbered by time. */
  add(part: number, count: number): void;
  /** Sum of the window that ends with a part. */
  latest(part: number): number;
  /** The largest sum of the window and of those before it. */
  largest(part: number): number;
}

/** Creates an empty sum over windows of so many parts. */
export function createWindowSum(partsCount: number): WindowSum {
  const keptCount = 2 * partsCount;
  const half = Math.floor(partsCount / 2);
  const counts = new Float64Array(keptCount);
  let newest = 0;

  const advance = (part: number): void => {
    const passedCount = Math.min(keptCount, part - newest);
    for (let index = 0; index < passedCount; index += 1) {
      counts[(part - index) % keptCount] = 0;
    }
    newest = Math.max(newest, part);
  };

  const sumUpTo = (last: number): number => {
    let sum = 0;
    for (let index = 0; index < partsCount; index += 1) {
      const part = last - index;
      if (part < 0) break;
      sum += counts[part % keptCount] ?? 0;
    }
    return sum;
  };

  return {
    add: (part, count) => {
      advance(part);
      const index = part % keptCount;
      counts[index] = (counts[index] ?? 0) + count;
    },
    latest: part => {
      advance(part);
      return sumUpTo(part);
    },
    largest: part => {
      advance(part);
      return Math.max(
        sumUpTo(part),
        sumUpTo(part - half),
        sumUpTo(part - partsCount),
      );
    },
  };
}
