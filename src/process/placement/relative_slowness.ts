/**
 * How slow an upstream is beside the others of its service, whatever mix of
 * requests it is given.
 *
 * Load pattern: a service runs short calls and long requests. An upstream that
 * happens to get mostly long ones has a long mean time, is taken to be slow, and
 * gets no short ones, so that its mean never falls: it idles while the others
 * queue and the service sheds. Each request is therefore measured against what
 * its like usually takes, as its sender knows from all upstreams.
 */

/** Slowness of one upstream. */
export interface RelativeSlowness {
  /** An answer took this long where its like usually takes so long. */
  observe(heldMillis: number, usualMillis: number): void;
  /** 1 is usual, 2 takes twice as long; `undefined` while too little is known. */
  ratio(): number | undefined;
}

/** Answers before the ratio is reported. */
const MIN_SAMPLES_COUNT = 5;

/** Weight of one new sample in the mean: about the last fifty count. */
const SAMPLE_WEIGHT = 0.04;

/**
 * A sample counts at most so much: the work of a few requests is many times the
 * usual, and says nothing about the upstream.
 */
const MAX_SAMPLE_RATIO = 8;

/** Creates the slowness of an upstream of which nothing is known. */
export function createRelativeSlowness(): RelativeSlowness {
  let samplesCount = 0;
  let meanRatio = 1;
  return {
    observe: (heldMillis, usualMillis) => {
      const sample = Math.min(MAX_SAMPLE_RATIO, heldMillis / usualMillis);
      const weight = Math.max(SAMPLE_WEIGHT, 1 / (samplesCount + 1));
      samplesCount += 1;
      meanRatio += (sample - meanRatio) * weight;
    },
    ratio: () => (samplesCount < MIN_SAMPLES_COUNT ? undefined : meanRatio),
  };
}
