/**
 * Lookup of the route of a request within one version of the configuration.
 */
import type {RouteConfiguration, ServiceRoute} from './route_configuration.js';

/** A compiled version. */
export interface RouteTable {
  readonly configuration: RouteConfiguration;
  /** The route with the longest prefix, or `undefined` if none matches. */
  match(hostHeader: string, requestTarget: string): ServiceRoute | undefined;
}

/** Compiles a configuration for lookups. */
export function createRouteTable(
  configuration: RouteConfiguration,
): RouteTable {
  const routesByHost = groupByHost(configuration.routes);
  return {
    configuration,
    match: (hostHeader, requestTarget) => {
      const routes = routesByHost.get(hostNameOf(hostHeader));
      if (routes === undefined) return undefined;
      const path = pathOf(requestTarget);
      return routes.find(route => path.startsWith(route.pathPrefix));
    },
  };
}

/** Longest prefix first, so that the first match is the longest. */
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

function hostNameOf(hostHeader: string): string {
  const colon = hostHeader.lastIndexOf(':');
  const name = colon < 0 ? hostHeader : hostHeader.slice(0, colon);
  return name.toLowerCase();
}

function pathOf(requestTarget: string): string {
  const query = requestTarget.indexOf('?');
  return query < 0 ? requestTarget : requestTarget.slice(0, query);
}
