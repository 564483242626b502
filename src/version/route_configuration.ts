/**
 * Routing configuration of one version, as published by operators.
 */

import type {Organisation} from './organisation.js';

/** Whether a request may be run more than once. */
export type RepeatRule = 'repeatable' | 'once';

/**
 * Retries of a request on a route whose document defines no limit. A request
 * with eight calls to a service that rejects half of the calls it receives
 * needs ten retries, and nine in ten such requests need no more than this
 * limit; the retry budget limits the total.
 */
export const DEFAULT_RETRIES_COUNT = 16;

/** A service that receives a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the sum of all weights of the route. */
  readonly weightRatio: number;
}

/** Settings for requests with one host name and path prefix. */
export interface ServiceRoute {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly hostName: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeat: RepeatRule;
  /** Longest time until a client receives a response. */
  readonly timeoutMillis: number;
  /** Latency objective: responses within this time count as on time. */
  readonly objectiveMillis: number;
  /** Upstreams that one attempt of a client may be sent to. */
  readonly maxAttemptsCount: number;
  /** Retries that one request may cause over its whole call chain. */
  readonly repeatsCount: number;
  /** Priority; 0 is the highest. */
  readonly rank: number;
  /** Clients need no API key. */
  readonly isPublic: boolean;
  /** One entry, or several if the route splits its requests. */
  readonly targets: readonly WeightedService[];
}

/** Limits on the size of client requests and on the time to receive them. */
export interface ClientLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMillis: number;
  readonly idleMillis: number;
}

/** Limit on the retries that one node sends. */
export interface RetryBudgetLimits {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed per second in addition. */
  readonly minimumPerSecond: number;
}

/** The complete configuration of one version. */
export interface RouteConfiguration {
  readonly version: number;
  /** Names of the declared services, with or without routes to them. */
  readonly services: readonly string[];
  readonly routes: readonly ServiceRoute[];
  /** Empty if clients need no API key. */
  readonly organisations: readonly Organisation[];
  readonly limits: ClientLimits;
}
