/**
 * How long another node is waited for before its silence means something.
 *
 * Load pattern: a fleet short of processors replies within seconds, and nodes
 * that are merely busy are taken for lost beside those that are cut off. So the
 * bound grows with the time in which nodes reply. It does not shrink with
 * it: quick replies of a calm fleet say nothing of a busy one.
 */

/** Bound of one node, over all others. */
export interface ReplyTimeout {
  /** A node that was asked replied after this time. */
  observe(millis: number): void;
  /** A reply that takes longer does not come. */
  currentMillis(): number;
}

/** Replies before their time is trusted. */
const MIN_SAMPLES_COUNT = 8;

/** Time for a fresh connection and the first word of a busy process. */
const MIN_MILLIS = 400;

/** Beyond this, a request has no time left to go elsewhere. */
const MAX_MILLIS = 1500;

/** Weight of one new sample in the mean and in the mean deviation. */
const SAMPLE_WEIGHT = 1 / 16;

/** Mean deviations beyond the mean, and how many times that is waited for. */
const DEVIATIONS_COUNT = 4;
const SAFETY_RATIO = 3;

/** Creates a bound that has seen no replies. */
export function createReplyTimeout(): ReplyTimeout {
  let samplesCount = 0;
  let meanMillis = 0;
  let deviationMillis = 0;
  return {
    observe: millis => {
      const distanceMillis = millis - meanMillis;
      const weight = Math.max(SAMPLE_WEIGHT, 1 / (samplesCount + 1));
      samplesCount += 1;
      meanMillis += distanceMillis * weight;
      deviationMillis += (Math.abs(distanceMillis) - deviationMillis) * weight;
    },
    currentMillis: () => {
      if (samplesCount < MIN_SAMPLES_COUNT) return MIN_MILLIS;
      const slowMillis = meanMillis + DEVIATIONS_COUNT * deviationMillis;
      return Math.min(
        MAX_MILLIS,
        Math.max(MIN_MILLIS, slowMillis * SAFETY_RATIO),
      );
    },
  };
}
