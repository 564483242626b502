/**
 * Sends requests to the upstream of this host and reports their results.
 */
import type {Socket} from 'node:net';
import type {Disposable} from '../base/lifecycle.js';
import {createFailedDispatches} from '../process/retries/failed_dispatches.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import {createConnectionIds} from './connection_ids.js';
import {
  avoidConnections,
  createKeepAliveAgent,
  closeIdleConnections,
} from './keep_alive_agent.js';
import type {ConnectionEnd} from './connection_end.js';
import {sendRequest} from './send_request.js';
import type {UpstreamRequest} from './upstream_request.js';
import type {UpstreamResult, UpstreamResultOptions} from './upstream_result.js';
import {toUpstreamResult} from './upstream_result.js';

/** Sends requests to one upstream. */
export interface UpstreamSender extends Disposable {
  /** Sends a request; `onEnd` is called once. */
  send(request: UpstreamRequest, onEnd: (result: UpstreamResult) => void): void;
  /**
   * Closes idle connections, which belong to a previous start of the upstream.
   * If they were dropped silently, a request sent on one would get no response,
   * and it would be unknown whether it ran.
   */
  closeIdleConnections(): void;
}

/**
 * Connect timeout within one host, where connecting takes about a millisecond:
 * beyond it the upstream is dead or cannot accept connections.
 */
const CONNECT_TIMEOUT_MILLIS = 300;

/** Idle timeout; shorter than that of an upstream that announces none. */
const MAX_IDLE_MILLIS = 4000;

/**
 * Maximum number of connections to the upstream; the number of its slots is a
 * stricter limit.
 */
const MAX_SOCKETS_COUNT = 1024;

/** Listeners for what the upstream does on its connections. */
export interface UpstreamSenderEvents extends Pick<
  UpstreamResultOptions,
  'onOrderRejected' | 'onRepeatedDispatch' | 'onInvalidHead'
> {
  /** A response without a length has ended with its connection. */
  readonly onUnframedEnd?:
    ((request: UpstreamRequest, ended: EndedResponse) => void) | undefined;
  /** The upstream has sent bytes after a complete response that are not a response. */
  readonly onExcessBytes?:
    ((request: UpstreamRequest, connectionId: number) => void) | undefined;
}

export interface UpstreamSenderOptions
  extends
    UpstreamSenderEvents,
    Pick<UpstreamResultOptions, 'wireHeaders' | 'nowMillis'> {
  readonly upstream: Endpoint;
}

/** End of a connection that ended the response on it. */
export interface EndedResponse {
  readonly end: ConnectionEnd;
  readonly connectionId: number;
  /** Bytes received on the connection since it was opened. */
  readonly receivedBytes: number;
}

/** Creates a sender with an empty pool. */
export function createUpstreamSender(
  options: UpstreamSenderOptions,
): UpstreamSender {
  const {upstream, wireHeaders} = options;
  const agent = createKeepAliveAgent({
    maxIdleMillis: MAX_IDLE_MILLIS,
    maxSocketsCount: MAX_SOCKETS_COUNT,
  });
  const connectionIds = createConnectionIds();
  const failedDispatches = createFailedDispatches(options.nowMillis);
  const resultOptions = {...options, connectionIds, failedDispatches};
  let responsesCount = 0;

  /** Avoids connections on which a late response to an earlier dispatch may arrive. */
  const avoidEarlierConnections = ({attemptId}: UpstreamRequest): void => {
    const earlierIds = failedDispatches.connectionIdsOf(attemptId);
    if (earlierIds.size === 0) return;
    avoidConnections(agent, upstream, connection =>
      earlierIds.has(connectionIds.idOf(connection)),
    );
  };

  return {
    send: (request, onEnd) => {
      avoidEarlierConnections(request);
      const responsesBefore = responsesCount;
      const outgoing = {
        to: upstream,
        agent,
        method: request.method,
        target: request.target,
        headers: upstreamHeaders(request, wireHeaders),
        body: request.body,
        connectTimeoutMillis: CONNECT_TIMEOUT_MILLIS,
        cancel: request.cancel,
        onUnframedEnd: (connection: Socket, end: ConnectionEnd) => {
          options.onUnframedEnd?.(request, {
            end,
            connectionId: connectionIds.idOf(connection),
            receivedBytes: connection.bytesRead,
          });
        },
        onExcessBytes: (connection: Socket) => {
          options.onExcessBytes?.(request, connectionIds.idOf(connection));
        },
      };
      sendRequest(outgoing, result => {
        if (result.kind === 'answer') responsesCount += 1;
        // A request that timed out on a reused connection may have been lost
        // with it, and other idle connections were probably dropped at the same
        // moment. If any response arrived meanwhile, the upstream is only slow,
        // and closing would open new connections after each timeout.
        const wasSilent = responsesCount === responsesBefore;
        if (result.kind === 'lost' && result.wasReused && wasSilent) {
          closeIdleConnections(agent, upstream);
        }
        onEnd(toUpstreamResult(result, request, resultOptions));
      });
    },
    closeIdleConnections: () => {
      closeIdleConnections(agent, upstream);
    },
    dispose: () => {
      agent.destroy();
    },
  };
}

function upstreamHeaders(
  request: UpstreamRequest,
  wireHeaders: WireHeaders,
): readonly string[] {
  return [
    ...request.headers,
    ...(wireHeaders.isAttemptIdRequired
      ? []
      : [wireHeaders.attemptId, request.attemptId]),
    wireHeaders.timeoutMillis,
    String(request.timeoutMillis),
    wireHeaders.expectedUpstreamId,
    request.upstreamId,
    wireHeaders.callerService,
    request.callerService,
    'connection',
    'keep-alive',
  ];
}
