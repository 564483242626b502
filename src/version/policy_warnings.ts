/**
 * Warnings about valid settings that are probably not intended.
 */
import {comparePatterns, parsePathPattern} from './path_pattern.js';
import type {Policy, Route, Service} from './policy.js';
import type {Problem} from './problem.js';
import {sumReservedRatios} from './policy_checks.js';

/** Returns the warnings for a document that has no problems. */
export function findPolicyWarnings(policy: Policy): readonly Problem[] {
  return policy.services.flatMap((service, index) =>
    findServiceWarnings(policy, service, `$.services[${String(index)}]`),
  );
}

function findServiceWarnings(
  policy: Policy,
  service: Service,
  path: string,
): readonly Problem[] {
  const warnings: Problem[] = [];
  if (service.slotsCount * (1 - sumReservedRatios(policy)) < 1) {
    warnings.push({
      path: `${path}.slotsCount`,
      value: service.slotsCount,
      allowed: 'enough slots that one is left beside all reserves',
    });
  }
  service.routes.forEach((route, index) => {
    const routePath = `${path}.routes[${String(index)}]`;
    warnings.push(...findRouteWarnings(service, route, routePath));
    warnings.push(...findWiderPatternWarnings(service, route, routePath));
  });
  return warnings;
}

function findRouteWarnings(
  service: Service,
  route: Route,
  path: string,
): readonly Problem[] {
  const warnings: Problem[] = [];
  if (
    route.repeat !== 'never' &&
    route.retryBound > 0 &&
    route.deadlineMillis <= service.progressTimeoutMillis
  ) {
    warnings.push({
      path: `${path}.deadlineMillis`,
      value: route.deadlineMillis,
      allowed: `more than the service's progressTimeoutMillis (${String(service.progressTimeoutMillis)}), so that a silent attempt leaves time for a retry`,
    });
  }
  return warnings;
}

/**
 * Some upstreams ignore case or strip `;` parameters. They may handle a path as
 * that of a route which must not be retried while it matches a wider pattern
 * here.
 */
function findWiderPatternWarnings(
  service: Service,
  route: Route,
  path: string,
): readonly Problem[] {
  if (route.repeat === 'never') return [];
  const segments = parsePathPattern(route.path);
  const coveredRoute = service.routes.find(
    other =>
      other.repeat === 'never' &&
      other.method === route.method &&
      comparePatterns(segments, parsePathPattern(other.path)) === 'wider',
  );
  if (coveredRoute === undefined) return [];
  return [
    {
      path: `${path}.repeat`,
      value: route.repeat,
      allowed: `"never" on a pattern that covers ${coveredRoute.path} of route ${coveredRoute.name}, unless the upstream compares paths exactly`,
    },
  ];
}
