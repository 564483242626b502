/**
 * The routing configuration of one version, as operators publish it.
 */

import type {Organisation} from './organisation.js';

/** Whether a request may be run more than once. */
export type RepeatRule = 'repeatable' | 'once';

/**
 * Repeats of a route whose document names no bound. A request of eight calls to
 * a service that rejects half of what it is handed needs ten of them, and nine
 * in ten such requests no more than these; how many there are in all is for the
 * budget to bound.
 */
export const DEFAULT_REPEATS_COUNT = 16;

/** One service that takes a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the sum of all weights of the route. */
  readonly weightRatio: number;
}

/** How requests of one host name below one path prefix are treated. */
export interface ServiceRoute {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly hostName: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeat: RepeatRule;
  /** Longest time a client is kept waiting. */
  readonly timeoutMillis: number;
  /** Time within which an answer has its full value. */
  readonly objectiveMillis: number;
  /** Upstreams that one attempt of a client may reach. */
  readonly maxAttemptsCount: number;
  /** Repeats that one request may cause over its whole chain of calls. */
  readonly repeatsCount: number;
  /** Importance; 0 is the most important. */
  readonly rank: number;
  /** Clients need no API key. */
  readonly isPublic: boolean;
  /** One entry, or more where a route is split. */
  readonly targets: readonly WeightedService[];
}

/** What a client may send and how slowly. */
export interface ClientLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMillis: number;
  readonly idleMillis: number;
}

/** Bound on the repeats of one node. */
export interface RetryBudget {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats on top. */
  readonly minimumPerSecond: number;
}

/** Everything of one version. */
export interface RouteConfiguration {
  readonly version: number;
  /** Names of services, whether routes lead to them or not. */
  readonly services: readonly string[];
  readonly routes: readonly ServiceRoute[];
  /** Empty if clients need no API key. */
  readonly organisations: readonly Organisation[];
  readonly limits: ClientLimits;
}
