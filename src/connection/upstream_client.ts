/**
 * Sends requests to the upstream on this host.
 */
import type * as Effect from 'effect/Effect';
import type {Disposable} from '../base/lifecycle.js';
import type {ListenAddress} from '../process/settings.js';
import type {HeaderField} from './header_fields.js';
import {createConnectionPool} from './http_agents.js';
import type {HttpAnswer, SendFailure} from './http_send.js';
import {sendHttp} from './http_send.js';

/** A request to the local upstream. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  readonly isRepeatBanned: boolean;
  readonly bufferedBytes: number;
  readonly silenceMillis: number;
}

/** The upstream as seen by its node. */
export abstract class UpstreamClient implements Disposable {
  /** Sends a request; interruption cancels it by closing the connection. */
  abstract send(
    request: UpstreamRequest,
  ): Effect.Effect<HttpAnswer, SendFailure>;
  /** Bounds the open connections to what the upstream accepts. */
  abstract setConnectionsCount(connectionsCount: number): void;
  abstract dispose(): void;
}

/** Options of an HTTP upstream. */
export interface HttpUpstreamOptions {
  readonly hostName: string;
  readonly upstream: ListenAddress;
  readonly idleMillis: number;
}

const CONNECT_MILLIS = 1000;

/** In force until a policy says how many connections the upstream accepts. */
const INITIAL_CONNECTIONS_COUNT = 16;

/** Repeatable and unrepeatable requests use separate connections. */
const POOLS_COUNT = 2;

/** Creates a client for an upstream that speaks HTTP/1.1. */
export function createHttpUpstreamClient(
  options: HttpUpstreamOptions,
): UpstreamClient {
  const pool = createConnectionPool({
    socketsCount: INITIAL_CONNECTIONS_COUNT,
    idleMillis: options.idleMillis,
  });
  const {address, port} = options.upstream;
  return new (class extends UpstreamClient {
    override send(
      request: UpstreamRequest,
    ): Effect.Effect<HttpAnswer, SendFailure> {
      return sendHttp({
        agent: pool.agent(request.isRepeatBanned),
        address,
        port,
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        bufferedBytes: request.bufferedBytes,
        connectMillis: CONNECT_MILLIS,
        silenceMillis: request.silenceMillis,
        peer: `upstream of ${options.hostName}`,
      });
    }
    override setConnectionsCount(connectionsCount: number): void {
      pool.setSocketsCount(
        Math.max(1, Math.floor(connectionsCount / POOLS_COUNT)),
      );
    }
    override dispose(): void {
      pool.dispose();
    }
  })();
}
