/**
 * Lookup of the route of a request within one version of the configuration.
 */
import type {OrganisationDirectory} from './organisation.js';
import {createOrganisationDirectory} from './organisation.js';
import type {
  ClientLimits,
  RetryBudgetLimits,
  RouteConfiguration,
  ServiceRoute,
} from './route_configuration.js';

/** The parts of a request that determine its route. */
export interface RouteQuery {
  readonly method: string;
  /** Value of the `Host` header. */
  readonly host: string;
  /** Path and query. */
  readonly target: string;
}

/** Routes of one compiled configuration version. */
export interface RouteTable {
  readonly version: number;
  readonly limits: ClientLimits;
  /** Limit on the retries of a node, if the document defines it. */
  readonly retryBudget?: RetryBudgetLimits;
  /** The document text, with digests in place of API keys. */
  readonly document: string;
  /** Rank of the least important routes. */
  readonly lowestRank: number;
  /** `undefined` if clients need no API key. */
  readonly organisations: OrganisationDirectory | undefined;
  /** Whether this version contains a service with this name. */
  hasService(name: string): boolean;
  /** Returns the route of a request, or `undefined` if none matches. */
  match(query: RouteQuery): ServiceRoute | undefined;
}

/**
 * Compiles a configuration, in which the longest matching path prefix takes
 * precedence. `readDocument` is called only when an operator requests the
 * document.
 */
export function createRouteTable(
  configuration: RouteConfiguration,
  readDocument: () => string,
): RouteTable {
  const {organisations} = configuration;
  const routesByHost = groupByHost(configuration.routes);
  const services = serviceNamesOf(configuration);
  return {
    version: configuration.version,
    limits: configuration.limits,
    lowestRank: Math.max(0, ...configuration.routes.map(({rank}) => rank)),
    get document() {
      return readDocument();
    },
    organisations:
      organisations.length === 0
        ? undefined
        : createOrganisationDirectory(organisations),
    hasService: name => services.has(name),
    match: ({host, target}) => {
      const routes = routesByHost.get(hostNameOf(host));
      if (routes === undefined) return undefined;
      const path = pathOf(target);
      return routes.find(route => path.startsWith(route.pathPrefix));
    },
  };
}

function serviceNamesOf(
  configuration: RouteConfiguration,
): ReadonlySet<string> {
  const targets = configuration.routes.flatMap(route => route.targets);
  return new Set([
    ...configuration.services,
    ...targets.map(({service}) => service),
  ]);
}

/**
 * Sorts the routes of a host by descending prefix length: the first match is
 * the longest.
 */
function groupByHost(
  routes: readonly ServiceRoute[],
): ReadonlyMap<string, readonly ServiceRoute[]> {
  const groups = new Map<string, ServiceRoute[]>();
  for (const route of routes) {
    const group = groups.get(route.hostName) ?? [];
    group.push(route);
    groups.set(route.hostName, group);
  }
  for (const group of groups.values()) {
    group.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return groups;
}

/** Returns the host name of a `Host` header in lower case, without the port. */
export function hostNameOf(hostHeader: string): string {
  const colon = hostHeader.lastIndexOf(':');
  const name = colon < 0 ? hostHeader : hostHeader.slice(0, colon);
  return name.toLowerCase();
}

/** Returns the path of a request target, without the query. */
export function pathOf(requestTarget: string): string {
  const query = requestTarget.indexOf('?');
  return query < 0 ? requestTarget : requestTarget.slice(0, query);
}
