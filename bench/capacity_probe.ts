/**
 * One thing that is grown to find what it costs.
 */

/** Values found at one size, by name with the unit as a suffix. */
export type ProbeFigures = Readonly<Record<string, number>>;

/** Measures at several sizes of one thing, everything else held still. */
export abstract class CapacityProbe {
  /** Word on the command line of the measuring process. */
  abstract readonly name: string;
  /** What is grown, in the plural. */
  abstract readonly quantity: string;
  abstract readonly sizes: readonly number[];
  /** Measures once, in a process of its own that can collect its garbage. */
  abstract measure(size: number): Promise<ProbeFigures>;
}

/** Median of repeats; the middle one does not follow a single disturbed run. */
export function medianOf(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? Number.NaN;
  if (sorted.length % 2 === 1) return upper;
  return ((sorted[middle - 1] ?? Number.NaN) + upper) / 2;
}

/** A straight line through measured points. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
}

/** Least-squares line through (size, value); needs two different sizes. */
export function fitLine(
  points: readonly (readonly [size: number, value: number])[],
): Line {
  const meanSize = meanOf(points.map(([size]) => size));
  const meanValue = meanOf(points.map(([, value]) => value));
  let products = 0;
  let squares = 0;
  for (const [size, value] of points) {
    products += (size - meanSize) * (value - meanValue);
    squares += (size - meanSize) ** 2;
  }
  const slope = products / squares;
  return {slope, intercept: meanValue - slope * meanSize};
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
