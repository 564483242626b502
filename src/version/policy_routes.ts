/**
 * Route table of a policy document, with lookup by service, method and path
 * pattern.
 */
import type {Organisation} from './organisation.js';
import {createOrganisationDirectory} from './organisation.js';
import type {CompiledPolicy, PolicyOrganisation, RouteMatch} from './policy.js';
import type {ClientLimits, ServiceRoute} from './route_configuration.js';
import type {RouteTable} from './route_table.js';
import {hostNameOf, pathOf} from './route_table.js';

/** Limits on callers that the policy document does not define. */
const CALLER_LIMITS: Omit<ClientLimits, 'bodyBytes'> = {
  headerBytes: 65_536,
  headerMillis: 10_000,
  idleMillis: 30_000,
};

/**
 * Share of a route's deadline within which a response counts as on time. The
 * rest is left for one retry by the caller.
 */
const OBJECTIVE_RATIO = 0.5;

/** Creates the route table of one policy version. */
export function createPolicyRouteTable(compiled: CompiledPolicy): RouteTable {
  const routes = new Map<RouteMatch, ServiceRoute>();
  const getOrCreateRoute = (match: RouteMatch): ServiceRoute => {
    const existing = routes.get(match);
    if (existing !== undefined) return existing;
    const created = createServiceRoute(match);
    routes.set(match, created);
    return created;
  };
  const {organisations} = compiled.policy;
  return {
    version: compiled.version,
    limits: {...CALLER_LIMITS, bodyBytes: compiled.policy.bodies.requestBytes},
    retryBudget: compiled.policy.retryBudget,
    document: Buffer.from(compiled.documentBytes).toString('utf8'),
    lowestRank: compiled.policy.classes.length - 1,
    organisations:
      organisations.length === 0
        ? undefined
        : createOrganisationDirectory(organisations.map(toOrganisation)),
    hasService: name => compiled.findService(name) !== undefined,
    match: ({method, host, target}) => {
      const match = compiled.findRoute(
        serviceNameOf(host),
        method,
        pathOf(target),
      );
      return match === undefined ? undefined : getOrCreateRoute(match);
    },
  };
}

function toOrganisation(organisation: PolicyOrganisation): Organisation {
  const {name, priority, ratePerSecond, burstCount, apiKeys} = organisation;
  return {
    name,
    keyDigests: apiKeys.map(({digest}) => digest),
    rank: priority,
    quota: ratePerSecond === 0 ? undefined : {ratePerSecond, burstCount},
  };
}

/** Returns the service of a request: the first label of its host name. */
function serviceNameOf(host: string): string {
  return hostNameOf(host).split('.', 1)[0] ?? '';
}

function createServiceRoute(match: RouteMatch): ServiceRoute {
  const {service, route, classIndex} = match;
  return {
    name: `${service.name}/${route.name}`,
    hostName: service.name,
    pathPrefix: '/',
    repeat: route.repeat === 'never' ? 'once' : 'repeatable',
    timeoutMillis: route.deadlineMillis,
    objectiveMillis: route.deadlineMillis * OBJECTIVE_RATIO,
    maxAttemptsCount: route.retryBound + 1,
    repeatsCount: route.retryBound,
    rank: classIndex,
    isPublic: route.isPublic,
    targets: [{service: service.name, weightRatio: 1}],
  };
}
