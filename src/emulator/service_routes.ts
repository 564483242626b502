/**
 * Short forms for the routes and calls of stand-in upstreams.
 */
import type {PlannedCall, UpstreamRoute} from './upstream_config.js';

/** Spread of service times: the 99th percentile is 2.5 times the median. */
const SERVICE_SIGMA = 0.4;

/** Describes one route. */
export type RouteBuilder = (
  method: string,
  path: string,
  callStages: readonly (readonly PlannedCall[])[],
) => UpstreamRoute;

/** A GET without a body. */
export function createGetCall(service: string, path: string): PlannedCall {
  return {service, method: 'GET', path};
}

/** Builds routes that share a median service time and an answer size. */
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
