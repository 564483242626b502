/**
 * Writes responses without a body, which nodes send in place of an upstream's.
 */
import type {HttpExchange} from '../connection/http_listener.js';
import {hasBody} from '../connection/request_body.js';
import type {StopPlan} from '../process/stop/stop_plan.js';

/** Sends a response without a body, unless one is under way. */
export function sendEmptyResponse(
  stop: StopPlan,
  exchange: HttpExchange,
  {statusCode, headers}: EmptyResponse,
): void {
  const {request, response} = exchange;
  if (response.destroyed || response.headersSent) return;
  const isUnread = hasBody(request) && !request.complete;
  response.writeHead(statusCode, [
    ...headers,
    ...closingHeaders(exchange, stop.isStopping || isUnread),
    'content-length',
    '0',
  ]);
  response.end();
}

export interface EmptyResponse {
  readonly statusCode: number;
  /** Names and values, alternating. */
  readonly headers: readonly string[];
}

/**
 * Headers that close the connection after the response, if it should be closed and no
 * later request on it would be lost.
 */
export function closingHeaders(
  exchange: HttpExchange,
  shouldClose: boolean,
): readonly string[] {
  if (!shouldClose || !exchange.isNewestOnConnection()) return [];
  exchange.ignoreFurtherRequests();
  return ['connection', 'close'];
}
