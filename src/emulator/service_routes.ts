/**
 * Helpers that create the routes and calls of emulated upstreams.
 */
import type {PlannedCall, UpstreamRoute} from './upstream_config.js';

/** Sigma of the log-normal service time; p99 is 2.5 times the median. */
const SERVICE_SIGMA = 0.4;

/** Creates one route. */
export type RouteBuilder = (
  method: string,
  path: string,
  callStages: readonly (readonly PlannedCall[])[],
) => UpstreamRoute;

/** Creates a GET call without a body. */
export function createGetCall(service: string, path: string): PlannedCall {
  return {service, method: 'GET', path};
}

/** Returns a builder of routes with the given median service time and size. */
export function createRouteBuilder(
  serviceMillis: number,
  answerBytes: number,
): RouteBuilder {
  return (method, path, callStages) => ({
    method,
    path,
    serviceMillis,
    serviceSigma: SERVICE_SIGMA,
    answerBytes,
    callStages,
  });
}
