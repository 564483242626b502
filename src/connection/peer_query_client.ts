/**
 * Persistent connections for queries to other nodes, separate from those for
 * requests: queries would prevent the idle timeout of a connection, and
 * requests sent on it would wait for a node behind a network partition.
 */
import type {Disposable} from '../base/lifecycle.js';
import {formatEndpoint} from '../process/settings/format_endpoint.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import {FRAME_KIND} from '../protocol/hop_frames.js';
import type {FrameConnection} from './frame_connection.js';
import {openFrameConnection} from './frame_connection.js';

/** Sends queries to other nodes. */
export interface PeerQueryClient extends Disposable {
  /**
   * Sends a query. `timeoutMillis`: for a query to which the other node may
   * respond later.
   */
  query(
    peer: Endpoint,
    query: Buffer,
    timeoutMillis?: number,
  ): Promise<PeerQueryResult>;
  /** Closes connections that have been idle for `MAX_IDLE_MILLIS`. */
  closeIdleConnections(): void;
}

/** Payload of the response, or why there is none. */
export type PeerQueryResult =
  | Buffer
  /** No response arrived in time. */
  | 'silent'
  /**
   * The connection was refused or closed, or the response has an unexpected
   * kind.
   */
  | 'closed';

export interface PeerQueryClientOptions {
  /** Frame kind of responses; any other kind is rejected. */
  readonly responseKind: number;
  readonly nowMillis: () => number;
}

/** Timeout of a response; a reachable node responds within milliseconds. */
const RESPONSE_TIMEOUT_MILLIS = 400;

const MAX_IDLE_MILLIS = 4000;

const noop = (): void => undefined;

interface QueryConnection {
  readonly connection: FrameConnection;
  readonly pending: Map<number, (result: PeerQueryResult) => void>;
  usedMillis: number;
  lastChannelId: number;
}

/** Creates a client without connections. */
export function createPeerQueryClient(
  options: PeerQueryClientOptions,
): PeerQueryClient {
  const {nowMillis} = options;
  const connections = new Map<string, QueryConnection>();

  const finishPending = (
    key: string,
    connection: QueryConnection,
    result: Extract<PeerQueryResult, string>,
  ): void => {
    if (connections.get(key) === connection) connections.delete(key);
    const finishes = [...connection.pending.values()];
    connection.pending.clear();
    for (const finish of finishes) finish(result);
  };

  const open = (key: string, peer: Endpoint): QueryConnection => {
    const connection: QueryConnection = {
      connection: openFrameConnection(peer, {
        onConnected: noop,
        onDataReceived: noop,
        onFrame: ({kind, channelId, payload}) => {
          if (kind === FRAME_KIND.goingAway) {
            connection.connection.end();
            finishPending(key, connection, 'closed');
            return;
          }
          const isResponse = kind === options.responseKind;
          connection.pending.get(channelId)?.(isResponse ? payload : 'closed');
        },
        onClosed: () => {
          finishPending(key, connection, 'closed');
        },
      }),
      pending: new Map(),
      usedMillis: nowMillis(),
      lastChannelId: 0,
    };
    connections.set(key, connection);
    return connection;
  };

  return {
    query: (peer, query, timeoutMillis = RESPONSE_TIMEOUT_MILLIS) => {
      const key = formatEndpoint(peer);
      const connection = connections.get(key) ?? open(key, peer);
      connection.usedMillis = nowMillis();
      connection.lastChannelId += 1;
      const channelId = connection.lastChannelId;
      return new Promise(resolve => {
        // A connection without a response may have been dropped silently.
        const timer = setTimeout(() => {
          connection.connection.destroy();
          finishPending(key, connection, 'silent');
        }, timeoutMillis);
        connection.pending.set(channelId, result => {
          clearTimeout(timer);
          connection.pending.delete(channelId);
          resolve(result);
        });
        connection.connection.send(FRAME_KIND.ping, channelId, query);
      });
    },
    closeIdleConnections: () => {
      const sinceMillis = nowMillis() - MAX_IDLE_MILLIS;
      for (const [key, connection] of connections) {
        if (
          connection.pending.size > 0 ||
          connection.usedMillis > sinceMillis
        ) {
          continue;
        }
        connections.delete(key);
        connection.connection.end();
      }
    },
    dispose: () => {
      for (const [key, connection] of [...connections]) {
        connection.connection.destroy();
        finishPending(key, connection, 'closed');
      }
    },
  };
}
