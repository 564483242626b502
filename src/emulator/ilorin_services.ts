/**
 * Emulated upstreams for the services of `examples/ilorin.json`: a call graph
 * of orderdesk, tileyard, atlas and catalogue with a depth of four.
 */
import type {ServicePlan} from './fleet_plan.js';
import {createRouteBuilder, createGetCall} from './service_routes.js';
import type {PlannedCall, UpstreamRoute} from './upstream_config.js';

/** Median service times, in milliseconds, of one upstream. */
export interface IlorinServiceTimes {
  readonly orderdeskMillis: number;
  readonly tileyardMillis: number;
  readonly atlasMillis: number;
  readonly catalogueMillis: number;
}

/** Service times short enough for a demo. */
export const QUICK_SERVICE_TIMES: IlorinServiceTimes = {
  orderdeskMillis: 3,
  tileyardMillis: 3,
  atlasMillis: 4,
  catalogueMillis: 5,
};

const SMALL_ANSWER_BYTES = 800;
const TILE_ANSWER_BYTES = 20_000;
const GRID_ANSWER_BYTES = 2_000_000;

/** Creates the service plans, with the same number of hosts in each zone. */
export function createIlorinServices(
  hostsPerZoneCount: number,
  times: IlorinServiceTimes = QUICK_SERVICE_TIMES,
): readonly ServicePlan[] {
  const services = {
    orderdesk: orderdeskRoutes(times.orderdeskMillis),
    tileyard: tileyardRoutes(times.tileyardMillis),
    atlas: atlasRoutes(times.atlasMillis),
    catalogue: catalogueRoutes(times.catalogueMillis),
  };
  return Object.entries(services).map(([service, routes]) => ({
    service,
    hostsPerZoneCount,
    routes,
  }));
}

function orderdeskRoutes(serviceMillis: number): readonly UpstreamRoute[] {
  const price = createGetCall('catalogue', '/prices/p7');
  const stock = createGetCall('catalogue', '/stock/p7');
  const tile = createGetCall('tileyard', '/tiles/9/1/2');
  const taking: PlannedCall = {
    service: 'catalogue',
    method: 'POST',
    path: '/stock/p7/takings',
    bodyBytes: 120,
  };
  const route = createRouteBuilder(serviceMillis, SMALL_ANSWER_BYTES);
  return [
    route('POST', '/terrain-orders', [[price, stock], [taking]]),
    route('GET', '/terrain-orders/:orderId', [[stock]]),
    route('DELETE', '/terrain-orders/:orderId', []),
    route('POST', '/quotes', [[price, tile]]),
    route('GET', '/quotes/:quoteId', [[price]]),
    route('GET', '/ledgers/*', []),
  ];
}

function tileyardRoutes(serviceMillis: number): readonly UpstreamRoute[] {
  const coverage = createGetCall('atlas', '/coverage/9/1/2');
  const product = createGetCall('catalogue', '/products/p7');
  const tile = createRouteBuilder(serviceMillis, TILE_ANSWER_BYTES);
  const grid = createRouteBuilder(serviceMillis, GRID_ANSWER_BYTES);
  return [
    grid('GET', '/point-clouds/:productId', [[product]]),
    grid('GET', '/elevation-grids/:productId', [[product]]),
    tile('GET', '/tiles/:zoom/:column/:row', [[coverage]]),
    tile('POST', '/tile-warm-ups', []),
  ];
}

function atlasRoutes(serviceMillis: number): readonly UpstreamRoute[] {
  const product = createGetCall('catalogue', '/products/p7');
  const route = createRouteBuilder(serviceMillis, SMALL_ANSWER_BYTES);
  return [
    route('GET', '/survey-records', [[product]]),
    route('GET', '/survey-records/:recordId', [[product]]),
    route('GET', '/coverage/:zoom/:column/:row', [[product]]),
    route('GET', '/footprints/:productId', []),
    route('POST', '/index-rebuilds', []),
  ];
}

function catalogueRoutes(serviceMillis: number): readonly UpstreamRoute[] {
  const route = createRouteBuilder(serviceMillis, SMALL_ANSWER_BYTES);
  return [
    {...route('GET', '/products/:productId', []), isChunked: true},
    {...route('GET', '/prices/:productId', []), hasDigest: true},
    route('GET', '/stock/:productId', []),
    route('POST', '/stock/:productId/takings', []),
    route('DELETE', '/stock/:productId/takings/:orderId', []),
    route('POST', '/stock-recounts', []),
  ];
}
