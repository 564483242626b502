/**
 * Sums over a sliding window of buckets, and over the windows before it.
 *
 * The limit on retries counts requests in its window, in the one before it or
 * in the one half a window before it, whichever has most. Otherwise, a service
 * whose requests are refused early would lose its retries too.
 */

export interface WindowSum {
  /** Adds to a bucket; buckets are numbered by time. */
  add(bucket: number, count: number): void;
  /** Sum of the window that ends with a bucket. */
  latest(bucket: number): number;
  /** Largest sum of that window and of those before it. */
  largest(bucket: number): number;
}

/** Creates an empty sum over windows of `bucketsCount` buckets. */
export function createWindowSum(bucketsCount: number): WindowSum {
  const keptCount = 2 * bucketsCount;
  const halfCount = Math.floor(bucketsCount / 2);
  const counts = new Float64Array(keptCount);
  let newest = 0;

  const advance = (bucket: number): void => {
    const elapsedCount = Math.min(keptCount, bucket - newest);
    for (let index = 0; index < elapsedCount; index += 1) {
      counts[(bucket - index) % keptCount] = 0;
    }
    newest = Math.max(newest, bucket);
  };

  const sumUpTo = (last: number): number => {
    let sum = 0;
    for (let index = 0; index < bucketsCount; index += 1) {
      const bucket = last - index;
      if (bucket < 0) break;
      sum += counts[bucket % keptCount] ?? 0;
    }
    return sum;
  };

  return {
    add: (bucket, count) => {
      advance(bucket);
      const index = bucket % keptCount;
      counts[index] = (counts[index] ?? 0) + count;
    },
    latest: bucket => {
      advance(bucket);
      return sumUpTo(bucket);
    },
    largest: bucket => {
      advance(bucket);
      return Math.max(
        sumUpTo(bucket),
        sumUpTo(bucket - halfCount),
        sumUpTo(bucket - bucketsCount),
      );
    },
  };
}
