/**
 * Detects list items that cannot be distinguished: equal names, ambiguous
 * routes.
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

/** Reports each item that has the same name as an earlier item of the list. */
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
 * Reports routes of one method with equal patterns, and those where neither
 * pattern is clearly more specific, so that it is unclear which rules apply.
 */
export function findRouteOverlaps(
  listPath: string,
  routes: readonly Route[],
): readonly Problem[] {
  const problems: Problem[] = [];
  const earlier: ParsedRoute[] = [];
  routes.forEach((route, index) => {
    const parsed = {index, route, segments: parsePathPattern(route.path)};
    const conflicting = earlier.find(other => isAmbiguous(parsed, other));
    if (conflicting !== undefined) {
      problems.push({
        path: `${listPath}[${String(index)}].path`,
        value: route.path,
        allowed: `a pattern that is distinct from, or in every segment as specific as, ${conflicting.route.path} of ${listPath}[${String(conflicting.index)}]`,
      });
    }
    earlier.push(parsed);
  });
  return problems;
}

function isAmbiguous(a: ParsedRoute, b: ParsedRoute): boolean {
  if (a.route.method !== b.route.method) return false;
  const relation = comparePatterns(a.segments, b.segments);
  return relation === 'same' || relation === 'ambiguous';
}
