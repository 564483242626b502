/**
 * How long an attempt that could be repeated is waited for before another
 * upstream is tried.
 *
 * Load pattern: upstreams run requests whose answers are lost without a word,
 * or turn many times slower. Waited for to the deadline, a request of twelve
 * calls of which a tenth are lost fails almost surely. What an attempt usually
 * takes is learned from those that were answered.
 */

/** Learned times of attempts, by what they were for. */
export interface AttemptTimeouts {
  /** Time after which to look elsewhere; `undefined` while too little is known. */
  timeoutMillis(key: string): number | undefined;
  /** Mean time to an answer; `undefined` before the first. */
  usualMillis(key: string): number | undefined;
  /** An attempt was answered after this time. */
  recordResponse(key: string, millis: number): void;
  /** An attempt was given up without an answer. */
  recordTimeout(key: string): void;
}

/** Answers before a time is trusted. */
const MIN_SAMPLES_COUNT = 20;

/** Weights of one new sample in the mean and in the mean deviation. */
const MEAN_WEIGHT = 1 / 16;
const DEVIATION_WEIGHT = 1 / 8;

/** Deviations beyond the mean; answers that come lie within with some 99%. */
const DEVIATIONS_COUNT = 4;

/** At least so many means: a repeat costs as much as was waited for. */
const MIN_MEANS_COUNT = 2;

/** A lost packet is sent again after some 200 ms, and then the answer comes. */
const MIN_PATIENCE_MILLIS = 150;

/**
 * One given up counts as so many means: enough that times which have grown are
 * learned although no answer comes, and so few that the mean stays where half
 * of the answers are lost.
 */
const GIVEN_UP_MEANS_COUNT = 1.5;

interface Times {
  samplesCount: number;
  meanMillis: number;
  deviationMillis: number;
}

/** Creates a patience that has learned nothing. */
export function createAttemptTimeouts(): AttemptTimeouts {
  const timesByKey = new Map<string, Times>();

  const learn = (times: Times, millis: number): void => {
    const distanceMillis = millis - times.meanMillis;
    times.samplesCount += 1;
    times.meanMillis += distanceMillis * MEAN_WEIGHT;
    times.deviationMillis +=
      (Math.abs(distanceMillis) - times.deviationMillis) * DEVIATION_WEIGHT;
  };

  return {
    timeoutMillis: key => {
      const times = timesByKey.get(key);
      if (times === undefined) return undefined;
      if (times.samplesCount < MIN_SAMPLES_COUNT) return undefined;
      const {meanMillis, deviationMillis} = times;
      return Math.max(
        MIN_PATIENCE_MILLIS,
        meanMillis * MIN_MEANS_COUNT,
        meanMillis + deviationMillis * DEVIATIONS_COUNT,
      );
    },
    usualMillis: key => timesByKey.get(key)?.meanMillis,
    recordResponse: (key, millis) => {
      const times = timesByKey.get(key);
      if (times !== undefined) {
        learn(times, millis);
        return;
      }
      timesByKey.set(key, {
        samplesCount: 1,
        meanMillis: millis,
        deviationMillis: millis / 2,
      });
    },
    recordTimeout: key => {
      const times = timesByKey.get(key);
      if (times === undefined) return;
      learn(times, times.meanMillis * GIVEN_UP_MEANS_COUNT);
    },
  };
}
