/**
 * Control listener of a node: HTTP/2 without TLS, served by connect-es.
 */
import type {Http2Server, ServerHttp2Session} from 'node:http2';
import {createServer} from 'node:http2';
import type {AddressInfo} from 'node:net';
import type {Interceptor, ServiceImpl} from '@connectrpc/connect';
import {Code, ConnectError} from '@connectrpc/connect';
import {compressionGzip, connectNodeAdapter} from '@connectrpc/connect-node';
import type {Disposable} from '../base/lifecycle.js';
import type {FleetView} from '../process/fleet_view.js';
import type {Metrics} from '../process/metrics.js';
import type {PolicyStore} from '../process/policy_store.js';
import type {ListenAddress} from '../process/settings.js';
import type {
  FetchHostListRequest,
  FetchPolicyRequest,
} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';
import {ControlService} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';
import type {ControlIdentity} from '../protocol/control_protocol.js';
import {
  CONTROL_HEADER,
  CONTROL_MESSAGE_BYTES,
  CONTROL_PROTOCOL_VERSION,
  COMPRESSED_BYTES,
  findIncompatibility,
} from '../protocol/control_protocol.js';
import type {
  ExchangeHandler,
  KeyHandOverReceiver,
  ViewConfirmer,
} from './control_handlers.js';

const CONNECTIONS_COUNT = 256;
const CONCURRENT_STREAMS_COUNT = 16;
const IDLE_SESSION_MILLIS = 30_000;

/** Options of `createControlServer`. */
export interface ControlServerOptions {
  readonly listen: ListenAddress;
  /** Name of the own deployment; empty while no policy is held. */
  readonly deployment: () => string;
  readonly fleetView: FleetView;
  readonly policyStore: PolicyStore;
  readonly viewConfirmer: ViewConfirmer;
  readonly exchangeHandler: ExchangeHandler;
  readonly keyHandOverReceiver: KeyHandOverReceiver;
  readonly metrics: Metrics;
}

/** A listening control server. */
export interface ControlServer extends Disposable {
  readonly port: number;
}

/** Starts to listen; fails if the address cannot be bound. */
export async function createControlServer(
  options: ControlServerOptions,
): Promise<ControlServer> {
  const {metrics} = options;
  const sessions = new Set<ServerHttp2Session>();
  const server = createServer(
    {settings: {maxConcurrentStreams: CONCURRENT_STREAMS_COUNT}},
    createRequestListener(options),
  );
  server.maxConnections = CONNECTIONS_COUNT;
  server.on('drop', () => {
    metrics.increment('control.connections_refused');
  });
  server.on('session', session => {
    trackSession(session, sessions, metrics);
  });
  // Bytes that are no HTTP/2 end the one session; nothing else is affected.
  server.on('sessionError', error => {
    metrics.increment('control.session_errors', {code: errorCodeOf(error)});
  });
  server.on('error', () => {
    metrics.increment('control.listener_errors');
  });
  await listen(server, options.listen);
  return {
    port: (server.address() as AddressInfo).port,
    dispose: () => {
      server.close();
      for (const session of sessions) session.destroy();
    },
  };
}

function trackSession(
  session: ServerHttp2Session,
  sessions: Set<ServerHttp2Session>,
  metrics: Metrics,
): void {
  sessions.add(session);
  metrics.gauge('control.sessions', sessions.size);
  session.setTimeout(IDLE_SESSION_MILLIS, () => {
    metrics.increment('control.sessions_idle_closed');
    session.destroy();
  });
  session.once('close', () => {
    sessions.delete(session);
    metrics.gauge('control.sessions', sessions.size);
  });
}

/** `ERR_HTTP2_SESSION_ERROR` is a peer's own end, anything else a fault. */
function errorCodeOf(error: NodeJS.ErrnoException): string {
  return error.code ?? 'unknown';
}

function listen(server: Http2Server, address: ListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.address, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

function createRequestListener(
  options: ControlServerOptions,
): ReturnType<typeof connectNodeAdapter> {
  return connectNodeAdapter({
    routes: router => router.service(ControlService, createService(options)),
    interceptors: [createIdentityCheck(options)],
    acceptCompression: [compressionGzip],
    compressMinBytes: COMPRESSED_BYTES,
    readMaxBytes: CONTROL_MESSAGE_BYTES,
    writeMaxBytes: CONTROL_MESSAGE_BYTES,
    grpc: false,
    grpcWeb: false,
  });
}

function createService(
  options: ControlServerOptions,
): ServiceImpl<typeof ControlService> {
  const {viewConfirmer, exchangeHandler, keyHandOverReceiver} = options;
  return {
    exchange: (incoming, context) =>
      exchangeHandler.serve(incoming, context.signal),
    fetchPolicy: request => fetchPolicy(options.policyStore, request),
    fetchHostList: request => fetchHostList(options.fleetView, request),
    confirmView: request => {
      const confirmation = viewConfirmer.confirm(
        Number(request.policyVersion),
        Number(request.hostListRevision),
      );
      return {
        isCurrent: confirmation.isCurrent,
        policyVersion: BigInt(confirmation.policyVersion),
        hostListRevision: BigInt(confirmation.listRevision),
      };
    },
    handOverKeys: request => ({
      acceptedCount: keyHandOverReceiver.accept(request),
    }),
  };
}

function fetchPolicy(
  policyStore: PolicyStore,
  request: FetchPolicyRequest,
): {version: bigint; document: Uint8Array} {
  const newest = policyStore.newest();
  const version = BigInt(newest?.version ?? 0);
  const isNewer = newest !== undefined && version > request.newerThanVersion;
  return {
    version,
    document: isNewer ? newest.documentBytes : new Uint8Array(),
  };
}

function fetchHostList(
  fleetView: FleetView,
  request: FetchHostListRequest,
): {revision: bigint; hostList: Uint8Array} {
  const revision = BigInt(fleetView.listRevision());
  const isNewer = revision > request.newerThanRevision;
  return {
    revision,
    hostList: isNewer ? fleetView.listBytes() : new Uint8Array(),
  };
}

/** Refuses calls of nodes that speak otherwise or belong elsewhere. */
function createIdentityCheck(options: ControlServerOptions): Interceptor {
  return next => request => {
    const own = {
      protocolVersion: CONTROL_PROTOCOL_VERSION,
      deployment: options.deployment(),
    };
    const other = readIdentity(request.header);
    const reason = findIncompatibility(own, other);
    if (reason === undefined) return next(request);
    options.metrics.increment('control.calls_refused', {reason});
    throw new ConnectError(
      `Refused for ${reason}: this node has protocol version ` +
        `${String(own.protocolVersion)} and deployment '${own.deployment}', ` +
        `the caller ${String(other.protocolVersion)} and '${other.deployment}'.`,
      Code.FailedPrecondition,
    );
  };
}

function readIdentity(header: Headers): ControlIdentity {
  return {
    protocolVersion: Number(header.get(CONTROL_HEADER.protocolVersion)),
    deployment: decodeDeployment(header.get(CONTROL_HEADER.deployment) ?? ''),
  };
}

function decodeDeployment(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
