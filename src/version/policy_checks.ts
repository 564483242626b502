/**
 * Validation rules of the policy document that involve more than one field.
 */
import {findDuplicateNames, findRouteOverlaps} from './duplicate_checks.js';
import {findSharedKeys} from './organisation.js';
import type {Policy, Route, Service} from './policy.js';
import type {Problem} from './problem.js';

/** Returns all rule violations of a document that matches the schema. */
export function findPolicyProblems(policy: Policy): readonly Problem[] {
  return [
    ...findDuplicateNames('$.availabilityZones', policy.availabilityZones),
    ...findDuplicateNames('$.classes', policy.classes),
    ...findDuplicateNames('$.services', policy.services),
    ...checkOrganisations(policy),
    ...checkReservedRatios(policy),
    ...policy.services.flatMap((service, index) =>
      checkService(policy, service, `$.services[${String(index)}]`),
    ),
    ...checkRetryAfter(policy),
  ];
}

function checkOrganisations({organisations}: Policy): readonly Problem[] {
  const keyDigests = organisations.map(({apiKeys}) => ({
    keyDigests: apiKeys.map(({digest}) => digest),
  }));
  return [
    ...findDuplicateNames('$.organisations', organisations),
    ...organisations.flatMap(({apiKeys}, index) =>
      findDuplicateNames(`$.organisations[${String(index)}].apiKeys`, apiKeys),
    ),
    ...findSharedKeys(keyDigests).map(({digest, indexes}) => ({
      path: `$.organisations[${String(indexes[1])}].apiKeys`,
      value: digest,
      allowed: `keys that $.organisations[${String(indexes[0])}] does not have`,
    })),
  ];
}

/** Share of an upstream's limit that all classes reserve together. */
export function sumReservedRatios(policy: Policy): number {
  return policy.classes.reduce(
    (sum, {reservedRatio}) => sum + reservedRatio,
    0,
  );
}

function checkReservedRatios(policy: Policy): readonly Problem[] {
  const sum = sumReservedRatios(policy);
  if (sum < 1) return [];
  return [
    {
      path: '$.classes',
      value: sum,
      allowed: 'a sum of reservedRatio below 1, or the last class never runs',
    },
  ];
}

function checkService(
  policy: Policy,
  service: Service,
  path: string,
): readonly Problem[] {
  const problems: Problem[] = [];
  if (service.slotsCount > service.connectionsCount) {
    problems.push({
      path: `${path}.slotsCount`,
      value: service.slotsCount,
      allowed: `at most connectionsCount (${String(service.connectionsCount)}), because every executing call holds a connection`,
    });
  }
  problems.push(...findDuplicateNames(`${path}.routes`, service.routes));
  problems.push(...findRouteOverlaps(`${path}.routes`, service.routes));
  service.routes.forEach((route, index) => {
    const routePath = `${path}.routes[${String(index)}]`;
    problems.push(...checkRoute(policy, service, route, routePath));
  });
  return problems;
}

function checkRoute(
  policy: Policy,
  service: Service,
  route: Route,
  path: string,
): readonly Problem[] {
  const problems: Problem[] = [];
  if (!policy.classes.some(({name}) => name === route.className)) {
    const names = policy.classes.map(({name}) => name).join(', ');
    problems.push({
      path: `${path}.className`,
      value: route.className,
      allowed: `the name of a class: ${names}`,
    });
  }
  if (route.deadlineMillis <= service.queueWaitMillis) {
    problems.push({
      path: `${path}.deadlineMillis`,
      value: route.deadlineMillis,
      allowed: `more than the service's queueWaitMillis (${String(service.queueWaitMillis)}), or the wait alone may use it up`,
    });
  }
  return problems;
}

function checkRetryAfter({timing}: Policy): readonly Problem[] {
  if (timing.retryAfterMinimumMillis <= timing.retryAfterMaximumMillis) {
    return [];
  }
  return [
    {
      path: '$.timing.retryAfterMinimumMillis',
      value: timing.retryAfterMinimumMillis,
      allowed: `at most retryAfterMaximumMillis (${String(timing.retryAfterMaximumMillis)})`,
    },
  ];
}
