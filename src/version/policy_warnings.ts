/**
 * Accepted settings that rarely do what their author wants.
 */
import {comparePatterns, parsePathPattern} from './path_pattern.js';
import type {Policy, Route, Service} from './policy.js';
import type {Problem} from './problem.js';
import {sumReservedRatios} from './policy_checks.js';

/** Lists doubtful settings of a document that has no problems. */
export function findPolicyWarnings(policy: Policy): readonly Problem[] {
  return policy.services.flatMap((service, index) =>
    warnOfService(policy, service, `$.services[${String(index)}]`),
  );
}

function warnOfService(
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
    warnings.push(...warnOfRoute(service, route, routePath));
    warnings.push(...warnOfWiderPattern(service, route, routePath));
  });
  return warnings;
}

function warnOfRoute(
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
 * Some upstreams ignore case or cut `;` parameters, so that they read a path as
 * that of a route which must not be repeated while it fits a wider pattern here.
 */
function warnOfWiderPattern(
  service: Service,
  route: Route,
  path: string,
): readonly Problem[] {
  if (route.repeat === 'never') return [];
  const segments = parsePathPattern(route.path);
  const covered = service.routes.find(
    other =>
      other.repeat === 'never' &&
      other.method === route.method &&
      comparePatterns(segments, parsePathPattern(other.path)) === 'wider',
  );
  if (covered === undefined) return [];
  return [
    {
      path: `${path}.repeat`,
      value: route.repeat,
      allowed: `"never" on a pattern that covers ${covered.path} of route ${covered.name}, unless the upstream compares paths exactly`,
    },
  ];
}
