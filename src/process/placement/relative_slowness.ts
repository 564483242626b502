/**
 * Slowness of an upstream relative to the others of its service, independent of
 * the mix of requests that it receives.
 *
 * Load pattern: a service runs short calls and long requests. An upstream that
 * happens to get mostly long ones has a long mean time, looks slow and gets no
 * short ones, so that its mean never falls: it idles while the others queue and
 * the service sheds. Each request is therefore compared with the usual time of
 * its kind, which its sender measures over all upstreams.
 */

/** Relative slowness of one upstream. */
export interface RelativeSlowness {
  /**
   * Records that a request held a slot for `heldMillis` where its kind usually
   * takes `usualMillis`.
   */
  observe(heldMillis: number, usualMillis: number): void;
  /** 1 is usual, 2 takes twice as long; `undefined` with too few samples. */
  ratio(): number | undefined;
}

/** Samples required before the ratio is reported. */
const MIN_SAMPLES_COUNT = 5;

/** Weight of one sample in the moving average: about the last fifty count. */
const SAMPLE_WEIGHT = 0.04;

/**
 * Upper bound of a sample: a few requests take many times the usual, which says
 * nothing about the upstream.
 */
const MAX_SAMPLE_RATIO = 8;

/** Creates the slowness of an upstream without samples. */
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
