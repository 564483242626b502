/**
 * Path patterns of routes: parsing, comparison of two patterns, and splitting
 * of request paths.
 */

/** One segment of a pattern. */
export type PatternSegment =
  | {readonly kind: 'literal'; readonly text: string}
  /** Any one segment. */
  | {readonly kind: 'parameter'}
  /** All remaining segments, at least one; only at the end. */
  | {readonly kind: 'wildcard'};

/**
 * How the paths that one pattern matches relate to those of another.
 * `ambiguous`: some path matches both and neither pattern is at least as
 * specific in every segment.
 */
export type PatternRelation =
  'disjoint' | 'same' | 'narrower' | 'wider' | 'ambiguous';

const SPECIFICITY = {literal: 2, parameter: 1, wildcard: 0} as const;

/** Parses a pattern that the schema has accepted. */
export function parsePathPattern(pattern: string): readonly PatternSegment[] {
  if (pattern === '/') return [];
  return pattern.slice(1).split('/').map(toSegment);
}

function toSegment(text: string): PatternSegment {
  if (text === '*') return {kind: 'wildcard'};
  if (text.startsWith(':')) return {kind: 'parameter'};
  return {kind: 'literal', text};
}

/** Compares two patterns of one method. */
export function comparePatterns(
  a: readonly PatternSegment[],
  b: readonly PatternSegment[],
): PatternRelation {
  let isNarrower = false;
  let isWider = false;
  const length = Math.max(a.length, b.length);
  for (let index = 0; index < length; index += 1) {
    const left = segmentAt(a, index);
    const right = segmentAt(b, index);
    if (left === undefined || right === undefined) return 'disjoint';
    if (
      left.kind === 'literal' &&
      right.kind === 'literal' &&
      left.text !== right.text
    ) {
      return 'disjoint';
    }
    const difference = SPECIFICITY[left.kind] - SPECIFICITY[right.kind];
    if (difference > 0) isNarrower = true;
    if (difference < 0) isWider = true;
  }
  if (isNarrower && isWider) return 'ambiguous';
  if (isNarrower) return 'narrower';
  return isWider ? 'wider' : 'same';
}

/**
 * Returns the segment at an index; a final wildcard matches all following ones.
 */
function segmentAt(
  segments: readonly PatternSegment[],
  index: number,
): PatternSegment | undefined {
  const last = segments.at(-1);
  if (index >= segments.length && last?.kind === 'wildcard') return last;
  return segments[index];
}

/**
 * Splits a request path into decoded segments. Returns undefined for a path
 * that an upstream may interpret as another one.
 */
export function splitRequestPath(path: string): readonly string[] | undefined {
  // An upstream may treat what follows `#` as a fragment and drop it.
  if (!path.startsWith('/') || path.includes('#')) return undefined;
  if (path === '/') return [];
  const segments: string[] = [];
  for (const rawSegment of path.slice(1).split('/')) {
    const segment = decodeSegment(rawSegment);
    if (segment === undefined) return undefined;
    segments.push(segment);
  }
  return segments;
}

/**
 * Upstreams decode paths and resolve dot segments. If `/x/../orders` or
 * `/%6frders` were matched as written, they could match a wildcard route that
 * allows retries while the upstream places an order, which would then be
 * retried. Decoding first and rejecting ambiguous segments makes both sides
 * interpret a path alike.
 */
function decodeSegment(rawSegment: string): string | undefined {
  const segment = decodePercent(rawSegment);
  if (segment === undefined || segment === '') return undefined;
  if (segment === '.' || segment === '..') return undefined;
  if (/[/\\]/.test(segment)) return undefined;
  return segment;
}

function decodePercent(text: string): string | undefined {
  if (!text.includes('%')) return text;
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}
