/**
 * Chooses the time after which the client of a refused request may retry.
 */
import type {HopReason} from '../protocol/hop_messages.js';
import type {ServiceRoute} from '../version/route_configuration.js';
import type {OpenRequest} from './open_request.js';

/** Times for the `retry-after` header, in milliseconds. */
export interface RetryAfter {
  /** Time after a refusal; the route is `undefined` if there is none. */
  usual(route: ServiceRoute | undefined): number;
  /** Time after a refusal of all attempts for this reason. */
  afterRefusal(
    request: Pick<OpenRequest, 'route' | 'service'>,
    reason: HopReason,
  ): number;
}

/** Dependencies of the choice. */
export interface RetryAfterOptions {
  /** Requests that a service can process per second; `undefined` if unknown. */
  readonly capacityPerSecondOf: (service: string) => number | undefined;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/**
 * Range of `retry-after` for refused requests, as ratios of the route's latency
 * objective: late enough for some of the excess load to pass, early enough to be served
 * within the objective, and jittered so that clients do not retry at the same time.
 */
const MIN_RETRY_AFTER_RATIO = 0.2;
const MAX_RETRY_AFTER_RATIO = 0.7;

/**
 * `retry-after` for a quarantined request: it is refused until it is cleared, so an
 * early retry would be refused again.
 */
const QUARANTINED_RETRY_AFTER_MILLIS = 30_000;

/** `retry-after` for a request without a route, and so without a latency objective. */
const NO_ROUTE_RETRY_AFTER_MILLIS = 500;

const MILLIS_PER_SECOND = 1000;

/** Creates the choice. */
export function createRetryAfter(options: RetryAfterOptions): RetryAfter {
  const usual = (route: ServiceRoute | undefined): number => {
    if (route === undefined) return NO_ROUTE_RETRY_AFTER_MILLIS;
    const width = MAX_RETRY_AFTER_RATIO - MIN_RETRY_AFTER_RATIO;
    const ratio = MIN_RETRY_AFTER_RATIO + width * options.random();
    return route.objectiveMillis * ratio;
  };

  /** A limited service has no room for another request any sooner. */
  const nextCapacityMillis = (service: string): number => {
    const perSecond = options.capacityPerSecondOf(service);
    return perSecond === undefined ? 0 : MILLIS_PER_SECOND / perSecond;
  };

  return {
    usual,
    afterRefusal: ({route, service}, reason) => {
      if (reason === 'quarantined') return QUARANTINED_RETRY_AFTER_MILLIS;
      const usualMillis = usual(route);
      if (reason !== 'rate-limited') return usualMillis;
      return Math.max(usualMillis, nextCapacityMillis(service));
    },
  };
}
