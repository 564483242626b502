/**
 * Keeps requests that must not be repeated from running twice because their client sends
 * them again.
 */
import type {HttpExchange} from '../connection/http_listener.js';
import type {StartedOrders} from '../process/retries/started_orders.js';
import type {EntryResponder} from './entry_responder.js';
import type {EnteredRequest, RoutedRequest} from './entered_request.js';

/** Dependencies of the entry of orders. */
export interface OrderEntryOptions {
  /** Orders that entered here and may have run. */
  readonly startedOrders: StartedOrders;
  readonly responder: EntryResponder;
}

/**
 * Lets a request that must not be repeated wait until the responses before it on its
 * connection have been sent: if one of them closed the connection, the client would send
 * the request again (RFC 9112, 9.3.2). False if it must not run.
 */
export function awaitTurn(
  {responder}: OrderEntryOptions,
  exchange: HttpExchange,
  {attemptId, route}: RoutedRequest,
): boolean | Promise<boolean> {
  if (route.repeat === 'repeatable') return true;
  const isInTurn = exchange.awaitEarlierResponses();
  if (!(isInTurn instanceof Promise)) return isInTurn;
  return isInTurn.then(hasTurn => {
    if (!hasTurn) responder.recordUnread(exchange, {attemptId, route});
    return hasTurn;
  });
}

/** Returns false and fails a request that must not be repeated and may have run already. */
export function beginOrder(
  {startedOrders, responder}: OrderEntryOptions,
  entered: EnteredRequest,
): boolean {
  const {attemptId, route, deadlineMillis} = entered;
  if (route.repeat === 'repeatable') return true;
  if (startedOrders.begin(attemptId, deadlineMillis)) return true;
  responder.failRepeated(entered);
  return false;
}
