/**
 * Builds routes, configurations and upstream entries with default values.
 */
import type {RouteTable} from '../../src/version/route_table.js';
import {createRouteTable} from '../../src/version/route_table.js';
import type {UpstreamEntry} from '../../src/process/membership/upstream_entry.js';
import type {
  RouteConfiguration,
  ServiceRoute,
} from '../../src/version/route_configuration.js';

/** Creates a route whose requests may be retried, for `shop.example/a/` to `orders`. */
export function serviceRoute(fields: Partial<ServiceRoute> = {}): ServiceRoute {
  return {
    name: 'route',
    hostName: 'shop.example',
    pathPrefix: '/a/',
    repeat: 'repeatable',
    timeoutMillis: 1000,
    objectiveMillis: 400,
    maxAttemptsCount: 2,
    repeatsCount: 4,
    rank: 0,
    isPublic: false,
    targets: [{service: 'orders', weightRatio: 1}],
    ...fields,
  };
}

/** Returns the route table of such a configuration. */
export function routeTable(
  fields: Partial<RouteConfiguration> = {},
): RouteTable {
  return createRouteTable(routeConfiguration(fields), () => 'document');
}

/** Returns a configuration of version 1 with one route. */
export function routeConfiguration(
  fields: Partial<RouteConfiguration> = {},
): RouteConfiguration {
  return {
    version: 1,
    services: ['orders'],
    routes: [serviceRoute()],
    organisations: [],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_000_000,
      headerMillis: 3000,
      idleMillis: 15_000,
    },
    ...fields,
  };
}

/** Returns the entry of a ready upstream of `orders` with ten slots. */
export function upstreamEntry(
  fields: Partial<UpstreamEntry> = {},
): UpstreamEntry {
  return {
    id: 'u-1',
    bornMillis: undefined,
    sequenceNumber: undefined,
    service: 'orders',
    hostKey: '10.0.0.1:80',
    node: {address: '10.0.0.1', port: 90},
    zone: 'zone-a',
    region: 'region',
    slotsCount: 10,
    isDraining: false,
    coldLeftMillis: 0,
    ...fields,
  };
}
