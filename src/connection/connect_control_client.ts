/**
 * Control calls over HTTP/2 by connect-es.
 */
import type {Client, Interceptor} from '@connectrpc/connect';
import {Code, ConnectError, createClient} from '@connectrpc/connect';
import {
  compressionGzip,
  createConnectTransport,
} from '@connectrpc/connect-node';
import * as Effect from 'effect/Effect';
import {LRUCache} from 'lru-cache';
import {describeError, TransportError} from '../base/errors.js';
import type {
  ConfirmViewRequest,
  ConfirmViewResponse,
  ControlMessage,
  FetchHostListResponse,
  FetchPolicyResponse,
  HandOverKeysRequest,
  HandOverKeysResponse,
} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';
import {ControlService} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';
import {
  CONTROL_HEADER,
  CONTROL_MESSAGE_BYTES,
  CONTROL_PROTOCOL_VERSION,
  COMPRESSED_BYTES,
} from '../protocol/control_protocol.js';
import type {Metrics} from '../process/metrics.js';
import type {ControlCallError, ControlPeer, Fields} from './control_client.js';
import {ControlClient} from './control_client.js';
import type {ControlSession} from './control_session.js';
import {createControlSession} from './control_session.js';

const DEFAULT_TIMEOUT_MILLIS = 2_000;
const CACHED_CONNECTIONS_COUNT = 32;

/** Failures after which the connection itself is in doubt. */
const CONNECTION_FAILURES: ReadonlySet<Code> = new Set([
  Code.Aborted,
  Code.DeadlineExceeded,
  Code.Internal,
  Code.Unavailable,
  Code.Unknown,
]);

/** Options of `createControlClient`. */
export interface ControlClientOptions {
  readonly metrics: Metrics;
  /** Name of the own deployment; empty while no policy is held. */
  readonly deployment: () => string;
}

/** One HTTP/2 connection to a peer and the calls on it. */
interface Connection {
  readonly client: Client<typeof ControlService>;
  readonly session: ControlSession;
  callsCount: number;
  isDiscarded: boolean;
}

type UnaryCall<T> = (
  client: Client<typeof ControlService>,
  options: {readonly signal: AbortSignal; readonly timeoutMs: number},
) => Promise<T>;

/** Creates a client that keeps a bounded number of connections. */
export function createControlClient(
  options: ControlClientOptions,
): ControlClient {
  const {metrics} = options;
  const identify = createIdentityInterceptor(options.deployment);
  const connections = new LRUCache<string, Connection>({
    max: CACHED_CONNECTIONS_COUNT,
    dispose: discard,
  });

  function connectionTo(peer: ControlPeer): Connection {
    const url = baseUrlOf(peer);
    const cached = connections.get(url);
    if (cached !== undefined) return cached;
    const connection = openConnection(url, identify, metrics);
    connections.set(url, connection);
    return connection;
  }

  async function callUnary<T>(
    peer: ControlPeer,
    signal: AbortSignal,
    timeoutMillis: number,
    call: UnaryCall<T>,
  ): Promise<T> {
    const connection = connectionTo(peer);
    connection.callsCount += 1;
    // A fraction in the protocol's time limit makes the peer refuse the call as
    // invalid; seen as confirmations that all fail with InvalidArgument.
    const timeoutMs = Math.ceil(timeoutMillis);
    try {
      return await call(connection.client, {signal, timeoutMs});
    } catch (error) {
      // An open connection may have gone silent for good while a new one
      // works; seen as calls that time out one after the other. So the next
      // call does not use this connection again.
      if (isConnectionFailure(error)) forget(peer, connection);
      throw error;
    } finally {
      connection.callsCount -= 1;
      closeIfUnused(connection);
    }
  }

  function forget(peer: ControlPeer, connection: Connection): void {
    const url = baseUrlOf(peer);
    if (connections.peek(url) !== connection) return;
    metrics.increment('control.connections_replaced');
    connections.delete(url);
  }

  function unary<T>(
    step: string,
    peer: ControlPeer,
    timeoutMillis: number,
    call: UnaryCall<T>,
  ): Effect.Effect<T, ControlCallError> {
    return Effect.tryPromise({
      try: signal => callUnary(peer, signal, timeoutMillis, call),
      catch: error => {
        metrics.increment('control.call_failures', {
          step,
          code: failureCodeOf(error),
        });
        return toTransportError(error, step, peer);
      },
    });
  }

  async function* exchange(
    peer: ControlPeer,
    outgoing: AsyncIterable<ControlMessage>,
    signal: AbortSignal,
  ): AsyncGenerator<ControlMessage> {
    const connection = openConnection(baseUrlOf(peer), identify, metrics);
    try {
      yield* connection.client.exchange(outgoing, {signal});
    } catch (error) {
      throw toTransportError(error, 'exchange', peer);
    } finally {
      connection.session.dispose();
    }
  }

  return new (class extends ControlClient {
    override confirmView(
      peer: ControlPeer,
      request: Fields<ConfirmViewRequest>,
      timeoutMillis = DEFAULT_TIMEOUT_MILLIS,
    ): Effect.Effect<ConfirmViewResponse, ControlCallError> {
      return unary('confirm-view', peer, timeoutMillis, (client, call) =>
        client.confirmView(request, call),
      );
    }
    override handOverKeys(
      peer: ControlPeer,
      request: Fields<HandOverKeysRequest>,
      timeoutMillis = DEFAULT_TIMEOUT_MILLIS,
    ): Effect.Effect<HandOverKeysResponse, ControlCallError> {
      return unary('hand-over-keys', peer, timeoutMillis, (client, call) =>
        client.handOverKeys(request, call),
      );
    }
    override fetchPolicy(
      peer: ControlPeer,
      newerThanVersion: number,
      timeoutMillis = DEFAULT_TIMEOUT_MILLIS,
    ): Effect.Effect<FetchPolicyResponse, ControlCallError> {
      const request = {newerThanVersion: BigInt(newerThanVersion)};
      return unary('fetch-policy', peer, timeoutMillis, (client, call) =>
        client.fetchPolicy(request, call),
      );
    }
    override fetchHostList(
      peer: ControlPeer,
      newerThanRevision: number,
      timeoutMillis = DEFAULT_TIMEOUT_MILLIS,
    ): Effect.Effect<FetchHostListResponse, ControlCallError> {
      const request = {newerThanRevision: BigInt(newerThanRevision)};
      return unary('fetch-host-list', peer, timeoutMillis, (client, call) =>
        client.fetchHostList(request, call),
      );
    }
    override exchange(
      peer: ControlPeer,
      outgoing: AsyncIterable<ControlMessage>,
      signal: AbortSignal,
    ): AsyncIterable<ControlMessage> {
      return exchange(peer, outgoing, signal);
    }
    override dispose(): void {
      connections.clear();
    }
  })();
}

function openConnection(
  url: string,
  identify: Interceptor,
  metrics: Metrics,
): Connection {
  const session = createControlSession(url, metrics);
  const transport = createConnectTransport({
    baseUrl: url,
    httpVersion: '2',
    sessionManager: session,
    interceptors: [identify],
    acceptCompression: [compressionGzip],
    sendCompression: compressionGzip,
    compressMinBytes: COMPRESSED_BYTES,
    readMaxBytes: CONTROL_MESSAGE_BYTES,
    writeMaxBytes: CONTROL_MESSAGE_BYTES,
  });
  return {
    client: createClient(ControlService, transport),
    session,
    callsCount: 0,
    isDiscarded: false,
  };
}

function createIdentityInterceptor(deployment: () => string): Interceptor {
  return next => request => {
    request.header.set(
      CONTROL_HEADER.protocolVersion,
      String(CONTROL_PROTOCOL_VERSION),
    );
    request.header.set(
      CONTROL_HEADER.deployment,
      encodeURIComponent(deployment()),
    );
    return next(request);
  };
}

/** Closes a connection as soon as its last call has ended. */
function discard(connection: Connection): void {
  connection.isDiscarded = true;
  closeIfUnused(connection);
}

function closeIfUnused(connection: Connection): void {
  if (!connection.isDiscarded || connection.callsCount > 0) return;
  connection.session.dispose();
}

function baseUrlOf(peer: ControlPeer): string {
  const host = peer.address.includes(':') ? `[${peer.address}]` : peer.address;
  return `http://${host}:${String(peer.controlPort)}`;
}

function isConnectionFailure(error: unknown): boolean {
  return CONNECTION_FAILURES.has(ConnectError.from(error).code);
}

function failureCodeOf(error: unknown): string {
  return Code[ConnectError.from(error).code];
}

function toTransportError(
  error: unknown,
  step: string,
  peer: ControlPeer,
): ControlCallError {
  return new TransportError(`Control call failed: ${describeError(error)}`, {
    props: {step, peer: peer.hostName},
  });
}
