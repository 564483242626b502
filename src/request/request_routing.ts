/**
 * Finds the route of a request that enters here, the parent request if it is a call of
 * the upstream, and the organisation of its sender.
 */
import type {HttpExchange} from '../connection/http_listener.js';
import type {ConfigurationHolder} from '../process/membership/configuration_holder.js';
import type {InFlightParents} from '../process/retries/in_flight_parents.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import type {RouteTable} from '../version/route_table.js';
import type {EntryResponder} from './entry_responder.js';
import type {RoutedRequest} from './entered_request.js';
import {readAttemptId} from './entered_request.js';
import type {SenderIdentity} from './sender_identity.js';
import {identifySender} from './sender_identity.js';

/** Dependencies of request routing. */
export interface RequestRoutingOptions {
  readonly wireHeaders: WireHeaders;
  readonly configuration: ConfigurationHolder;
  readonly parents: InFlightParents;
  readonly responder: Pick<EntryResponder, 'refuse' | 'reject' | 'challenge'>;
}

const NO_ORGANISATION: SenderIdentity = {
  kind: 'accepted',
  organisation: undefined,
};

/** Routes a request; if it cannot be routed, sends the response and returns `undefined`. */
export function routeRequest(
  {responder, configuration, wireHeaders, parents}: RequestRoutingOptions,
  exchange: HttpExchange,
  isLocal: boolean,
): RoutedRequest | undefined {
  const table = configuration.current();
  if (table === undefined) {
    responder.refuse(exchange, {reason: 'no-configuration'});
    return undefined;
  }
  const {request} = exchange;
  const route = table.match({
    method: request.method ?? 'GET',
    host: request.headers.host ?? '',
    target: request.url ?? '/',
  });
  if (route === undefined) {
    responder.reject(exchange, 404, 'no-route');
    return undefined;
  }
  const attemptId = readAttemptId(wireHeaders, exchange);
  if (attemptId === undefined) {
    responder.reject(exchange, 400, 'no-attempt-id');
    return undefined;
  }
  const parent = parents.find(attemptId);
  const identity = identifyClient(exchange, table, {route, isLocal, parent});
  if (identity.kind === 'refused') {
    responder.challenge(exchange, identity.reason);
    return undefined;
  }
  const {organisation} = identity;
  return {route, attemptId, isLocal, parent, table, organisation};
}

/** Calls of the upstream need no API key. */
function identifyClient(
  {request}: HttpExchange,
  {organisations}: RouteTable,
  {route, isLocal, parent}: Pick<RoutedRequest, 'route' | 'isLocal' | 'parent'>,
): SenderIdentity {
  const isCall = isLocal || parent !== undefined;
  if (organisations === undefined || isCall) return NO_ORGANISATION;
  const {rawHeaders: headers} = request;
  return identifySender(organisations, {headers, isPublic: route.isPublic});
}
