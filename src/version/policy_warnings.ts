/**
 * Accepted settings that rarely do what their author wants.
 */
import type {Policy, Route, Service} from './policy.js';
import type {Problem} from './problem.js';
import {sumOfReserves} from './policy_checks.js';

/** Memory for kept answers that a small host can spare. */
const SPARE_ANSWER_BYTES = 64 * 1_048_576;

/** Lists doubtful settings of a document that has no problems. */
export function findPolicyWarnings(policy: Policy): readonly Problem[] {
  return [
    ...policy.services.flatMap((service, index) =>
      warnOfService(policy, service, `$.services[${String(index)}]`),
    ),
    ...warnOfAnswerMemory(policy),
  ];
}

function warnOfService(
  policy: Policy,
  service: Service,
  path: string,
): readonly Problem[] {
  const warnings: Problem[] = [];
  if (service.slotsCount * (1 - sumOfReserves(policy)) < 1) {
    warnings.push({
      path: `${path}.slotsCount`,
      value: service.slotsCount,
      allowed: 'enough slots that one is left beside all reserves',
    });
  }
  service.routes.forEach((route, index) => {
    const routePath = `${path}.routes[${String(index)}]`;
    warnings.push(...warnOfRoute(service, route, routePath));
  });
  return warnings;
}

function warnOfRoute(
  service: Service,
  route: Route,
  path: string,
): readonly Problem[] {
  const warnings: Problem[] = [];
  // Without a key two requests of a caller that repeats by itself look like two
  // wishes, and both run.
  if (route.repeat === 'never' && !route.isKeyRequired) {
    warnings.push({
      path: `${path}.isKeyRequired`,
      value: false,
      allowed:
        'true on a route that must not be repeated, unless only other services call it',
    });
  }
  if (route.repeat === 'safe' && route.isKeyRequired) {
    warnings.push({
      path: `${path}.isKeyRequired`,
      value: true,
      allowed: 'false on a safe route, which gains nothing by a key',
    });
  }
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

function warnOfAnswerMemory({keys}: Policy): readonly Problem[] {
  const answerBytes = keys.recordsCount * keys.answerBytes;
  if (answerBytes <= SPARE_ANSWER_BYTES) return [];
  return [
    {
      path: '$.keys',
      value: answerBytes,
      allowed: `recordsCount times answerBytes of at most ${String(SPARE_ANSWER_BYTES)} on small hosts`,
    },
  ];
}
