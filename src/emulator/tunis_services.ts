/**
 * Emulated upstreams for the services of `examples/tunis.json`: a call graph of
 * bookings, crewboard, fieldlib and dispatch.
 */
import type {ServicePlan} from './fleet_plan.js';
import {createRouteBuilder, createGetCall} from './service_routes.js';
import type {PlannedCall, UpstreamRoute} from './upstream_config.js';

/** Median service times, in milliseconds, of one upstream. */
export interface TunisServiceTimes {
  readonly bookingsMillis: number;
  readonly crewboardMillis: number;
  readonly fieldlibMillis: number;
  readonly dispatchMillis: number;
}

const SMALL_ANSWER_BYTES = 800;
const MANUAL_ANSWER_BYTES = 40_000;

/** Creates the service plans, with the same number of hosts in each zone. */
export function createTunisServices(
  hostsPerZoneCount: number,
  times: TunisServiceTimes,
): readonly ServicePlan[] {
  const services = {
    bookings: bookingsRoutes(times.bookingsMillis),
    crewboard: crewboardRoutes(times.crewboardMillis),
    fieldlib: fieldlibRoutes(times.fieldlibMillis),
    dispatch: dispatchRoutes(times.dispatchMillis),
  };
  return Object.entries(services).map(([service, routes]) => ({
    service,
    hostsPerZoneCount,
    routes,
  }));
}

function bookingsRoutes(serviceMillis: number): readonly UpstreamRoute[] {
  const availability = createGetCall('dispatch', '/availability/monday');
  const treatment = createGetCall('fieldlib', '/treatments/wool/wine');
  const assignment = createPostCall('dispatch', '/assignments');
  const jobSheet = createPostCall('crewboard', '/job-sheets');
  const route = createRouteBuilder(serviceMillis, SMALL_ANSWER_BYTES);
  return [
    route('POST', '/hotel-bookings', [[availability], [assignment, jobSheet]]),
    route('GET', '/hotel-bookings/:bookingId', []),
    route('DELETE', '/hotel-bookings/:bookingId', []),
    route('POST', '/quotes', [[availability, treatment]]),
    route('GET', '/quotes/:quoteId', [[treatment]]),
    route('GET', '/invoices/*', []),
  ];
}

function crewboardRoutes(serviceMillis: number): readonly UpstreamRoute[] {
  const position = createGetCall('dispatch', '/vans/v7/position');
  const manual = createGetCall('fieldlib', '/manuals/m7');
  const route = createRouteBuilder(serviceMillis, SMALL_ANSWER_BYTES);
  return [
    route('GET', '/crews/:crewId/job-sheets', [[position]]),
    route('GET', '/job-sheets/:jobId', [[manual, position]]),
    route('PUT', '/job-sheets/:jobId', []),
    route('POST', '/job-sheets', []),
    route('POST', '/job-sheet-archives', []),
  ];
}

function fieldlibRoutes(serviceMillis: number): readonly UpstreamRoute[] {
  const manual = createRouteBuilder(serviceMillis, MANUAL_ANSWER_BYTES);
  const route = createRouteBuilder(serviceMillis, SMALL_ANSWER_BYTES);
  return [
    route('GET', '/manuals', []),
    manual('GET', '/manuals/:manualId', []),
    manual('GET', '/manuals/:manualId/pages/*', []),
    route('GET', '/treatments/:fabric/:stain', []),
    route('POST', '/index-rebuilds', []),
  ];
}

function dispatchRoutes(serviceMillis: number): readonly UpstreamRoute[] {
  const route = createRouteBuilder(serviceMillis, SMALL_ANSWER_BYTES);
  return [
    route('GET', '/vans/:vanId/position', []),
    route('PUT', '/vans/:vanId/position', []),
    route('GET', '/availability/:day', []),
    route('POST', '/assignments', []),
    route('DELETE', '/assignments/:bookingId', []),
  ];
}

function createPostCall(service: string, path: string): PlannedCall {
  return {service, method: 'POST', path, bodyBytes: 120};
}
