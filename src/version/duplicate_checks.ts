/**
 * Checks for items of a list that are indistinguishable.
 */
import type {PatternSegment} from './path_pattern.js';
import {comparePatterns, parsePathPattern} from './path_pattern.js';
import type {Route} from './policy.js';
import type {Problem} from './problem.js';

interface NamedItem {
  readonly name: string;
}

interface ParsedRoute {
  readonly index: number;
  readonly route: Route;
  readonly segments: readonly PatternSegment[];
}

/** Reports each item whose name an earlier item of the list has. */
export function findDuplicateNames(
  listPath: string,
  items: readonly NamedItem[],
): readonly Problem[] {
  const firstIndexes = new Map<string, number>();
  const problems: Problem[] = [];
  items.forEach(({name}, index) => {
    const firstIndex = firstIndexes.get(name);
    if (firstIndex === undefined) {
      firstIndexes.set(name, index);
      return;
    }
    problems.push({
      path: `${listPath}[${String(index)}].name`,
      value: name,
      allowed: `a name that differs from ${listPath}[${String(firstIndex)}]`,
    });
  });
  return problems;
}

/**
 * Reports routes of one method with equal patterns, and those of which neither
 * is clearly the more specific: a reader could not tell which rules apply.
 */
export function findRouteOverlaps(
  listPath: string,
  routes: readonly Route[],
): readonly Problem[] {
  const problems: Problem[] = [];
  const earlier: ParsedRoute[] = [];
  routes.forEach((route, index) => {
    const parsed = {index, route, segments: parsePathPattern(route.path)};
    const rival = earlier.find(other => isIndistinct(parsed, other));
    if (rival !== undefined) {
      problems.push({
        path: `${listPath}[${String(index)}].path`,
        value: route.path,
        allowed: `a pattern that is distinct from, or in every segment as specific as, ${rival.route.path} of ${listPath}[${String(rival.index)}]`,
      });
    }
    earlier.push(parsed);
  });
  return problems;
}

function isIndistinct(a: ParsedRoute, b: ParsedRoute): boolean {
  if (a.route.method !== b.route.method) return false;
  const relation = comparePatterns(a.segments, b.segments);
  return relation === 'same' || relation === 'ambiguous';
}
