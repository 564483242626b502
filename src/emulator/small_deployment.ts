/**
 * A small deployment for tests, in any number of availability zones: orderdesk
 * calls tileyard and catalogue, and tileyard calls catalogue.
 */
import type {Policy, Route, Service} from '../version/policy.js';
import type {ServicePlan} from './fleet_plan.js';
import type {UpstreamRoute} from './upstream_config.js';

const REGION = 'west';

/**
 * Creates the policy. Its timeouts are long, so that load on the machine alone
 * causes no failure. Zones are named `a`, `b`, `c` and so on.
 */
export function createSmallPolicy(zonesCount: number): Policy {
  return {
    formatVersion: 1,
    version: 1,
    deployment: 'small',
    availabilityZones: Array.from({length: zonesCount}, (_, i) => ({
      name: String.fromCharCode('a'.charCodeAt(0) + i),
      region: REGION,
    })),
    classes: [
      {name: 'orders', reservedRatio: 0.2},
      {name: 'records', reservedRatio: 0.1},
      {name: 'browse', reservedRatio: 0},
    ],
    services: [
      service('orderdesk', {slotsCount: 20, progressTimeoutMillis: 7000}, [
        route('place-order', 'POST', '/orders', {
          className: 'orders',
          repeat: 'never',
        }),
        route('show-order', 'GET', '/orders/:id', {className: 'records'}),
        route('browse', 'GET', '/browse/:id', {className: 'browse'}),
      ]),
      service('tileyard', {slotsCount: 20, progressTimeoutMillis: 4000}, [
        route('reserve-tile', 'POST', '/reservations', {
          className: 'orders',
          repeat: 'never',
        }),
        route('show-tile', 'GET', '/tiles/:id', {className: 'records'}),
        route('download-grid', 'GET', '/grids/:id', {className: 'records'}),
      ]),
      service('catalogue', {slotsCount: 10, progressTimeoutMillis: 2000}, [
        route('show-price', 'GET', '/prices/:id', {className: 'records'}),
        route('show-record', 'GET', '/records/:id', {className: 'browse'}),
      ]),
    ],
    organisations: [],
    retryBudget: {ratio: 0.2, minimumPerSecond: 10},
    bodies: {requestBytes: 1_048_576, bufferedAnswerBytes: 65_536},
    ejection: {
      consecutiveFailuresCount: 5,
      ejectionMillis: 2000,
      floorRatio: 0.5,
    },
    timing: {
      activationMillis: 500,
      slowStartMillis: 0,
      drainMillis: 10_000,
      retryAfterMinimumMillis: 500,
      retryAfterMaximumMillis: 5000,
    },
  };
}

/** Creates the service plans, with the same number of hosts in each zone. */
export function createSmallServices(
  hostsPerZoneCount: number,
): readonly ServicePlan[] {
  return SERVICE_ROUTES.map(plan => ({...plan, hostsPerZoneCount}));
}

const PRICE_CALL = {service: 'catalogue', method: 'GET', path: '/prices/7'};
const RECORD_CALL = {service: 'catalogue', method: 'GET', path: '/records/7'};
const TILE_CALL = {service: 'tileyard', method: 'GET', path: '/tiles/7'};
const RESERVE_CALL = {
  service: 'tileyard',
  method: 'POST',
  path: '/reservations',
  bodyBytes: 100,
};

const SERVICE_ROUTES: readonly Omit<ServicePlan, 'hostsPerZoneCount'>[] = [
  {
    service: 'orderdesk',
    routes: [
      upstreamRoute('POST', '/orders', 2000, [
        [PRICE_CALL, RECORD_CALL],
        [RESERVE_CALL],
      ]),
      upstreamRoute('GET', '/orders/:id', 2000, [[TILE_CALL]]),
      upstreamRoute('GET', '/browse/:id', 2000, [[TILE_CALL, RECORD_CALL]]),
    ],
  },
  {
    service: 'tileyard',
    routes: [
      upstreamRoute('POST', '/reservations', 500, []),
      upstreamRoute('GET', '/tiles/:id', 2000, [[RECORD_CALL]]),
      upstreamRoute('GET', '/grids/:id', 2_000_000, []),
    ],
  },
  {
    service: 'catalogue',
    routes: [
      {...upstreamRoute('GET', '/prices/:id', 500, []), hasDigest: true},
      {...upstreamRoute('GET', '/records/:id', 2000, []), isChunked: true},
    ],
  },
];

/**
 * Creates a service. The timeout of a service must exceed those of the services
 * it calls, or it times out while its upstream still retries a call.
 */
function service(
  name: string,
  limits: Pick<Service, 'slotsCount' | 'progressTimeoutMillis'>,
  routes: readonly Route[],
): Service {
  const {slotsCount} = limits;
  return {
    ...limits,
    name,
    connectionsCount: 10 * slotsCount,
    queueCount: 2 * slotsCount,
    queueWaitMillis: 1000,
    routes,
  };
}

function route(
  name: string,
  method: string,
  path: string,
  rest: Pick<Route, 'className'> & Partial<Route>,
): Route {
  return {
    name,
    method,
    path,
    repeat: 'safe',
    deadlineMillis: 12_000,
    retryBound: 3,
    isPublic: false,
    ...rest,
  };
}

function upstreamRoute(
  method: string,
  path: string,
  answerBytes: number,
  callStages: UpstreamRoute['callStages'],
): UpstreamRoute {
  return {
    method,
    path,
    serviceMillis: 2,
    serviceSigma: 0.3,
    answerBytes,
    callStages,
  };
}
