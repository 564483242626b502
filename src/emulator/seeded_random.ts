/**
 * Reproducible random numbers for the emulated systems and the load generator.
 */

/** A stream of random numbers that depends only on its seed. */
export interface SeededRandom {
  /** Uniform in [0, 1). */
  next(): number;
  /** Exponentially distributed with the given mean. */
  exponential(mean: number): number;
  /** Log-normally distributed; returns the median if `sigma` is 0. */
  logNormal(median: number, sigma: number): number;
}

const UINT32_RANGE = 0x1_0000_0000;

/** Creates a stream with the mulberry32 generator. */
export function createSeededRandom(seed: number): SeededRandom {
  let state = seed >>> 0;
  const next = (): number => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
  };
  /** Uniform in (0, 1], because the logarithm of 0 is not finite. */
  const nextPositive = (): number => 1 - next();
  const normal = (): number =>
    Math.sqrt(-2 * Math.log(nextPositive())) * Math.cos(2 * Math.PI * next());
  return {
    next,
    exponential: mean => -mean * Math.log(nextPositive()),
    logNormal: (median, sigma) =>
      sigma === 0 ? median : median * Math.exp(sigma * normal()),
  };
}
