/**
 * Computes how long to wait for a retryable attempt before another upstream is
 * tried.
 *
 * Load pattern: upstreams run requests whose responses are lost without an
 * error, or become many times slower. If each attempt could last until the
 * deadline, a request of twelve calls, a tenth of which are lost, would almost
 * certainly fail. The usual duration is learned from attempts that got a
 * response.
 */

/** Timeouts learned from earlier attempts, by kind of attempt. */
export interface AttemptTimeouts {
  /**
   * Time after which to try another upstream; `undefined` without enough
   * samples.
   */
  timeoutMillis(key: string): number | undefined;
  /** Mean time to a response; `undefined` before the first one. */
  usualMillis(key: string): number | undefined;
  /**
   * Time within which most responses arrive; `undefined` before the first one.
   */
  likelyMillis(key: string): number | undefined;
  /** Records the response time of an attempt. */
  recordResponse(key: string, millis: number): void;
  /** Records an attempt that was abandoned without a response. */
  recordTimeout(key: string): void;
}

/** Responses required before a timeout is applied. */
const MIN_SAMPLES_COUNT = 20;

/** Weights of a new sample in the mean and in the mean deviation. */
const MEAN_WEIGHT = 1 / 16;
const DEVIATION_WEIGHT = 1 / 8;

/** Mean deviations added to the mean: covers about 99% of the responses. */
const DEVIATIONS_COUNT = 4;

/** Mean deviations added to the mean: covers about 95% of the responses. */
const LIKELY_DEVIATIONS_COUNT = 2;

/**
 * Minimum timeout as a multiple of the mean: a retry costs as much as the wait.
 */
const MIN_TIMEOUT_MEANS_COUNT = 2;

/**
 * Minimum timeout. A lost packet is retransmitted after about 200 ms, and the
 * response then arrives.
 */
const MIN_TIMEOUT_MILLIS = 150;

/**
 * Sample for an abandoned attempt, as a multiple of the mean: large enough to
 * learn longer durations although no response arrives, and small enough to keep
 * the mean stable while half of the responses are lost.
 */
const ABANDONED_MEANS_COUNT = 1.5;

interface DurationStats {
  samplesCount: number;
  meanMillis: number;
  deviationMillis: number;
}

/** Creates timeouts without samples. */
export function createAttemptTimeouts(): AttemptTimeouts {
  const statsByKey = new Map<string, DurationStats>();

  const addSample = (stats: DurationStats, millis: number): void => {
    const distanceMillis = millis - stats.meanMillis;
    stats.samplesCount += 1;
    stats.meanMillis += distanceMillis * MEAN_WEIGHT;
    stats.deviationMillis +=
      (Math.abs(distanceMillis) - stats.deviationMillis) * DEVIATION_WEIGHT;
  };

  return {
    timeoutMillis: key => {
      const stats = statsByKey.get(key);
      if (stats === undefined) return undefined;
      if (stats.samplesCount < MIN_SAMPLES_COUNT) return undefined;
      const {meanMillis, deviationMillis} = stats;
      return Math.max(
        MIN_TIMEOUT_MILLIS,
        meanMillis * MIN_TIMEOUT_MEANS_COUNT,
        meanMillis + deviationMillis * DEVIATIONS_COUNT,
      );
    },
    usualMillis: key => statsByKey.get(key)?.meanMillis,
    likelyMillis: key => {
      const stats = statsByKey.get(key);
      if (stats === undefined) return undefined;
      const {meanMillis, deviationMillis} = stats;
      return meanMillis + deviationMillis * LIKELY_DEVIATIONS_COUNT;
    },
    recordResponse: (key, millis) => {
      const stats = statsByKey.get(key);
      if (stats !== undefined) {
        addSample(stats, millis);
        return;
      }
      statsByKey.set(key, {
        samplesCount: 1,
        meanMillis: millis,
        deviationMillis: millis / 2,
      });
    },
    recordTimeout: key => {
      const stats = statsByKey.get(key);
      if (stats === undefined) return;
      addSample(stats, stats.meanMillis * ABANDONED_MEANS_COUNT);
    },
  };
}
