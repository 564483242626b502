/**
 * Adaptive timeout for the replies of other nodes.
 *
 * Load pattern: a fleet short of CPU replies within seconds, and nodes that are
 * only busy are marked as lost along with unreachable ones. So the timeout
 * grows with the observed reply times. It does not fall below its minimum: fast
 * replies of an idle fleet do not predict those of a busy one.
 */

import {MAX_REPLY_TIMEOUT_MILLIS} from './reconnect_times.js';

/** Timeout of one node for the replies of all others. */
export interface ReplyTimeout {
  /** Records the reply time of a node. */
  observe(millis: number): void;
  /** Time after which a reply is no longer expected. */
  currentMillis(): number;
}

/** Replies required before their times are used. */
const MIN_SAMPLES_COUNT = 8;

/** Allows for a new connection and the first reply of a busy process. */
const MIN_TIMEOUT_MILLIS = 400;

/** Weight of a new sample in the mean and in the mean deviation. */
const SAMPLE_WEIGHT = 1 / 16;

/** Mean deviations added to the mean, and the factor applied to the sum. */
const DEVIATIONS_COUNT = 4;
const SAFETY_RATIO = 3;

/** Creates a timeout without samples. */
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
      if (samplesCount < MIN_SAMPLES_COUNT) return MIN_TIMEOUT_MILLIS;
      const upperMillis = meanMillis + DEVIATIONS_COUNT * deviationMillis;
      return Math.min(
        MAX_REPLY_TIMEOUT_MILLIS,
        Math.max(MIN_TIMEOUT_MILLIS, upperMillis * SAFETY_RATIO),
      );
    },
  };
}
