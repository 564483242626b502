/**
 * A request as it enters at this host: its id, its deadline, and what its calls
 * inherit.
 */
import {randomUUID} from 'node:crypto';
import type {HttpExchange} from '../connection/http_listener.js';
import type {InFlightParent} from '../process/repeats/in_flight_parents.js';
import {createRetryGrant} from '../process/repeats/shared_retry_grant.js';
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

/** What entering needs. */
export interface EntryOptions {
  readonly wireHeaders: WireHeaders;
  readonly targets: WeightedTargets;
  readonly stop: StopPlan;
  readonly responder: EntryResponder;
  readonly nowMillis: () => number;
}

/** A request that was read and has a route. */
export interface EnteredRequest extends OpenRequest {
  /** The request at the own upstream that this call is made for. */
  readonly parent: InFlightParent | undefined;
  /** Organisation of the client, if clients have API keys. */
  readonly organisation: Organisation | undefined;
}

/** A request as far as it is known when it enters. */
export interface RoutedRequest {
  readonly route: ServiceRoute;
  readonly attemptId: string;
  /**
   * A call of the upstream that lost its id has no parent. It counts as least
   * important and is not repeated: dropping the id would otherwise be a way
   * around the bound on repeats.
   */
  readonly isLocal: boolean;
  readonly parent: InFlightParent | undefined;
  /** The version that it was routed by. */
  readonly table: RouteTable;
  /** Organisation of the client, if clients have API keys. */
  readonly organisation: Organisation | undefined;
}

/** Time left for the last answer to reach a client before it gives up. */
const ANSWER_MARGIN_MILLIS = 15;

/** The client's id, or one of this node's where clients need not give one. */
export function readAttemptId(
  names: WireHeaders,
  exchange: HttpExchange,
): string | undefined {
  const id = exchange.request.headers[names.attemptId];
  if (typeof id === 'string' && id !== '') return id;
  return names.isAttemptIdRequired ? undefined : randomUUID();
}

/** Settles what holds for a request from here on. */
export function createEnteredRequest(
  options: EntryOptions,
  exchange: HttpExchange,
  routed: RoutedRequest,
): EnteredRequest {
  const {route, attemptId, isLocal, parent, organisation} = routed;
  const arrivedMillis = options.nowMillis();
  const timeoutMillis =
    readTimeout(options.wireHeaders, exchange) ?? route.timeoutMillis;
  options.responder.countEntered(parent !== undefined);
  const origin = parent?.origin ?? {
    importance: isLocal
      ? LEAST_IMPORTANT
      : importanceOf(rankOf(routed), attemptId),
    organisationName: organisation?.name,
    rootId: attemptId,
    rootRouteName: route.name,
    rootBeganAtMillis: arrivedMillis,
    isRepeat: isLocal,
    grant: createRetryGrant(isLocal ? 0 : route.repeatsCount),
  };
  return {
    exchange,
    attemptId,
    route,
    service: options.targets.choose(route),
    arrivedMillis,
    // A request that outlives this node would get no answer.
    deadlineMillis: Math.min(
      arrivedMillis +
        Math.min(route.timeoutMillis, timeoutMillis - ANSWER_MARGIN_MILLIS),
      options.stop.finishingUntilMillis,
    ),
    parent,
    organisation,
    origin,
  };
}

/** A request without an organisation goes after those of all organisations. */
function rankOf({route, table, organisation}: RoutedRequest): number {
  return rankOfRequest({
    routeRank: route.rank,
    lowestRouteRank: table.lowestRank,
    organisationRank: organisation?.rank ?? table.organisations?.lowestRank,
  });
}

function readTimeout(
  names: WireHeaders,
  exchange: HttpExchange,
): number | undefined {
  const text = exchange.request.headers[names.timeoutMillis];
  const millis = Number(text);
  return text !== undefined && Number.isFinite(millis) ? millis : undefined;
}
