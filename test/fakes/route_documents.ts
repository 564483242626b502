/**
 * Routes and configurations for tests, with defaults for what a test leaves out.
 */
import type {UpstreamEntry} from '../../src/process/upstream_entry.js';
import type {
  RouteConfiguration,
  ServiceRoute,
} from '../../src/version/route_configuration.js';

/** A route that may be repeated, for `shop.example/a/` to `orders`. */
export function serviceRoute(fields: Partial<ServiceRoute> = {}): ServiceRoute {
  return {
    name: 'route',
    hostName: 'shop.example',
    pathPrefix: '/a/',
    repeat: 'repeatable',
    timeoutMillis: 1000,
    objectiveMillis: 400,
    maxAttemptsCount: 2,
    rank: 0,
    targets: [{service: 'orders', weightRatio: 1}],
    ...fields,
  };
}

/** Version 1 with one route. */
export function routeConfiguration(
  fields: Partial<RouteConfiguration> = {},
): RouteConfiguration {
  return {
    version: 1,
    routes: [serviceRoute()],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_000_000,
      headerMillis: 3000,
      idleMillis: 15_000,
    },
    ...fields,
  };
}

/** A ready upstream of `orders` with ten slots. */
export function upstreamEntry(
  fields: Partial<UpstreamEntry> = {},
): UpstreamEntry {
  return {
    id: 'u-1',
    service: 'orders',
    hostAddress: '10.0.0.1',
    listenAddress: '10.0.0.1:80',
    zone: 'zone-a',
    slotsCount: 10,
    isDraining: false,
    coldLeftMillis: 0,
    ...fields,
  };
}
