/**
 * Creates the state of a request that enters at this host: id, deadline, and the origin
 * that its calls inherit.
 */
import {randomUUID} from 'node:crypto';
import type {HttpExchange} from '../connection/http_listener.js';
import type {InFlightParent} from '../process/retries/in_flight_parents.js';
import {createRetryGrant} from '../process/retries/shared_retry_grant.js';
import {
  importanceOf,
  LEAST_IMPORTANT,
  rankOfRequest,
} from '../process/admission/importance.js';
import type {StopPlan} from '../process/stop/stop_plan.js';
import type {WeightedTargets} from '../process/placement/weighted_targets.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import type {Organisation} from '../version/organisation.js';
import type {ServiceRoute} from '../version/route_configuration.js';
import type {RouteTable} from '../version/route_table.js';
import type {OpenRequest} from './open_request.js';
import type {EntryResponder} from './entry_responder.js';

/** Dependencies of `createEnteredRequest`. */
export interface EntryOptions {
  readonly wireHeaders: WireHeaders;
  readonly targets: WeightedTargets;
  readonly stop: StopPlan;
  readonly responder: EntryResponder;
  readonly nowMillis: () => number;
}

/** A request with its route, service and deadline. */
export interface EnteredRequest extends OpenRequest {
  /** When it was admitted, after the requests before it on its connection if it waited. */
  readonly enteredMillis: number;
  /** The request in progress at the local upstream that made this call. */
  readonly parent: InFlightParent | undefined;
  /** Organisation of the client, if clients have API keys. */
  readonly organisation: Organisation | undefined;
}

/** A request whose route and sender are resolved. */
export interface RoutedRequest {
  readonly route: ServiceRoute;
  readonly attemptId: string;
  /**
   * Whether the local upstream sent the request. If it dropped the id, the call has no
   * parent; it then gets the lowest importance and no retries, because dropping the id
   * would otherwise bypass the retry budget.
   */
  readonly isLocal: boolean;
  readonly parent: InFlightParent | undefined;
  /** Route table version that matched the request. */
  readonly table: RouteTable;
  /** Organisation of the client, if clients have API keys. */
  readonly organisation: Organisation | undefined;
}

/** Reserved for the final response to reach the client before its timeout. */
const RESPONSE_MARGIN_MILLIS = 15;

/**
 * Returns the client's id, or a generated one if clients need not send an id; `undefined`
 * if a required id is missing.
 */
export function readAttemptId(
  wireHeaders: WireHeaders,
  exchange: HttpExchange,
): string | undefined {
  const id = exchange.request.headers[wireHeaders.attemptId];
  if (typeof id === 'string' && id !== '') return id;
  return wireHeaders.isAttemptIdRequired ? undefined : randomUUID();
}

/** Computes deadline, service and origin of a request, and counts it as entered. */
export function createEnteredRequest(
  options: EntryOptions,
  exchange: HttpExchange,
  routed: RoutedRequest,
): EnteredRequest {
  const {route, attemptId, isLocal, parent, organisation} = routed;
  const arrivedMillis = exchange.receivedMillis;
  const timeoutMillis =
    readTimeout(options.wireHeaders, exchange) ?? route.timeoutMillis;
  options.responder.countEntered(parent !== undefined);
  const origin = parent?.origin ?? {
    importance: isLocal
      ? LEAST_IMPORTANT
      : importanceOf(rankOfRoutedRequest(routed), attemptId),
    organisationName: organisation?.name,
    rootId: attemptId,
    rootRouteName: route.name,
    rootBeganAtMillis: arrivedMillis,
    isRepeat: isLocal,
    grant: createRetryGrant(isLocal ? 0 : route.repeatsCount),
  };
  const clientDeadlineMillis =
    arrivedMillis +
    Math.min(route.timeoutMillis, timeoutMillis - RESPONSE_MARGIN_MILLIS);
  exchange.setDeadline(clientDeadlineMillis);
  return {
    exchange,
    attemptId,
    route,
    service: options.targets.choose(route),
    arrivedMillis,
    enteredMillis: options.nowMillis(),
    // A request that outlives this process would get no response.
    deadlineMillis: Math.min(
      clientDeadlineMillis,
      options.stop.finishingUntilMillis,
    ),
    parent,
    organisation,
    origin,
  };
}

/** Ranks requests without an organisation below those of all organisations. */
function rankOfRoutedRequest({
  route,
  table,
  organisation,
}: RoutedRequest): number {
  return rankOfRequest({
    routeRank: route.rank,
    lowestRouteRank: table.lowestRank,
    organisationRank: organisation?.rank ?? table.organisations?.lowestRank,
  });
}

function readTimeout(
  wireHeaders: WireHeaders,
  exchange: HttpExchange,
): number | undefined {
  const text = exchange.request.headers[wireHeaders.timeoutMillis];
  const millis = Number(text);
  return text !== undefined && Number.isFinite(millis) ? millis : undefined;
}
