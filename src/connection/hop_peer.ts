/**
 * Connections to one other node: selects a connection for each request and
 * resumes requests whose connection was lost.
 */
import {startIoTimeout} from '../base/io_timeout.js';
import type {ReplyTimeout} from '../process/membership/reply_timeout.js';
import {createReplyTimeout} from '../process/membership/reply_timeout.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import type {LoadFields} from '../protocol/hop_messages.js';
import type {FreshConnectionResult} from './detached_hops.js';
import {createDetachedHops} from './detached_hops.js';
import type {
  HopConnection,
  HopConnectionCloseReason,
} from './hop_connection.js';
import {openHopConnection} from './hop_connection.js';
import type {OutgoingHop} from './outgoing_hop.js';
import type {MonitoredPeer} from './peer_monitor.js';

/** Another node to which requests are sent. */
export interface HopPeer extends MonitoredPeer {
  send(hop: OutgoingHop): void;
  /** Sends a query; its first byte is its type. */
  sendQuery(query: Buffer): void;
  /** Closes connections that have been idle for `MAX_IDLE_MILLIS`. */
  closeIdleConnections(): void;
  dispose(): void;
}

export interface HopPeerOptions {
  readonly endpoint: Endpoint;
  readonly nowMillis: () => number;
  readonly replyTimeout?: ReplyTimeout;
  readonly onDataReceived: () => void;
  readonly onLoads: (loads: readonly LoadFields[]) => void;
  /** This many requests were resumed after their connection was lost. */
  readonly onHopsResumed: (hopsCount: number) => void;
}

/**
 * Maximum number of connections to one node: a lost packet delays all requests
 * on its connection, so a few connections share the load.
 */
const MAX_CONNECTIONS_COUNT = 4;

/** Requests per connection before another connection is opened. */
const HOPS_PER_CONNECTION_COUNT = 2;

/**
 * Idle time after which a connection is closed: network devices between nodes
 * may drop idle connections, and a new connection costs one round trip.
 */
const MAX_IDLE_MILLIS = 4000;

/**
 * Connections that are opened in parallel for an urgent probe. One packet in
 * thirty is lost on a bad link, and a lost first packet is retransmitted only
 * after a second.
 */
const URGENT_CONNECTIONS_COUNT = 2;

const noop = (): void => undefined;

/** Creates a peer without connections. */
export function createHopPeer(options: HopPeerOptions): HopPeer {
  const {endpoint, nowMillis, replyTimeout = createReplyTimeout()} = options;
  const connections = new Set<HopConnection>();
  let pendingConnection: Promise<FreshConnectionResult> | undefined;

  const openConnection = (
    onReady: () => void,
    onFailed: (reason: HopConnectionCloseReason) => void,
  ): HopConnection => {
    const connection = openHopConnection({
      peer: endpoint,
      nowMillis,
      onReady,
      onDataReceived: options.onDataReceived,
      onLoads: options.onLoads,
      onClosed: (reason, hops) => {
        connections.delete(connection);
        onFailed(reason);
        if (reason === 'closed') cancelUnconfirmed(connection);
        handleClosed(reason, hops);
      },
    });
    return connection;
  };
  const addConnection = (): HopConnection => {
    const connection = openConnection(noop, noop);
    connections.add(connection);
    return connection;
  };
  const handleClosed = (
    reason: HopConnectionCloseReason,
    hops: readonly OutgoingHop[],
  ): void => {
    if (hops.length === 0) return;
    if (reason === 'closed') {
      detachedHops.resume(hops);
      return;
    }
    for (const hop of hops) hop.fail('unreachable');
  };
  /** A stopping process receives all that was sent before its connections end. */
  const cancelUnconfirmed = (connection: HopConnection): void => {
    const {instanceId, isGoingAway, unconfirmedCancels} = connection;
    if (isGoingAway) return;
    detachedHops.cancel(unconfirmedCancels, instanceId);
  };

  /** Concurrent callers share one attempt. */
  const openFreshConnection = (
    isUrgent: boolean,
  ): Promise<FreshConnectionResult> => {
    pendingConnection ??= raceConnections(
      isUrgent ? URGENT_CONNECTIONS_COUNT : 1,
    ).finally(() => {
      pendingConnection = undefined;
    });
    return pendingConnection;
  };
  const raceConnections = (count: number): Promise<FreshConnectionResult> =>
    new Promise(resolve => {
      const candidates = new Set<HopConnection>();
      const startedMillis = nowMillis();
      let isFinished = false;
      const finish = (result: FreshConnectionResult): void => {
        if (isFinished) return;
        isFinished = true;
        timeout.dispose();
        for (const candidate of candidates) {
          if (candidate !== result) candidate.closeAndTakeHops();
        }
        if (typeof result !== 'string') connections.add(result);
        resolve(result);
      };
      const timeout = startIoTimeout(replyTimeout.currentMillis(), () => {
        finish('silent');
      });
      for (let index = 0; index < count; index += 1) {
        const candidate = openConnection(
          () => {
            if (!isFinished) replyTimeout.observe(nowMillis() - startedMillis);
            finish(candidate);
          },
          reason => {
            candidates.delete(candidate);
            if (candidates.size > 0) return;
            finish(reason === 'refused' ? 'refused' : 'silent');
          },
        );
        candidates.add(candidate);
      }
    });

  const detachedHops = createDetachedHops({
    nowMillis,
    openConnection: () => openFreshConnection(true),
    onResumed: options.onHopsResumed,
  });

  /** The connection on which the node has replied last, if it has since then. */
  const findReplied = (sinceMillis: number): HopConnection | undefined => {
    let latest: HopConnection | undefined;
    for (const connection of connections) {
      const {instanceId, isGoingAway, lastReceivedMillis} = connection;
      if (instanceId === undefined || isGoingAway) continue;
      if (lastReceivedMillis < (latest?.lastReceivedMillis ?? sinceMillis)) {
        continue;
      }
      latest = connection;
    }
    return latest;
  };
  const chooseConnection = (): HopConnection => {
    let best: HopConnection | undefined;
    for (const connection of connections) {
      if (connection.isGoingAway) continue;
      if (best === undefined || isBetter(connection, best)) best = connection;
    }
    if (best === undefined) return addConnection();
    const isBusy = best.openCount >= HOPS_PER_CONNECTION_COUNT;
    if (isBusy && connections.size < MAX_CONNECTIONS_COUNT) addConnection();
    return best;
  };

  return {
    endpoint,
    connections: () => [...connections],
    get detachedHopsCount() {
      return detachedHops.count;
    },
    send: hop => {
      chooseConnection().send(hop);
    },
    sendQuery: query => {
      chooseConnection().sendQuery(query);
    },
    probe: async isUrgent => {
      const result = await openFreshConnection(isUrgent);
      return typeof result !== 'string';
    },
    replaceSilentConnections: sinceMillis => {
      const hops: OutgoingHop[] = [];
      for (const connection of [...connections]) {
        if (connection.waitingSinceMillis === undefined) continue;
        if (connection.lastReceivedMillis >= sinceMillis) continue;
        if (connection.waitingSinceMillis >= sinceMillis) continue;
        connections.delete(connection);
        cancelUnconfirmed(connection);
        hops.push(...connection.closeAndTakeHops());
      }
      if (hops.length > 0) detachedHops.resume(hops, findReplied(sinceMillis));
    },
    suspectHops: () => {
      const openHops = [...detachedHops.hops()];
      for (const connection of connections) openHops.push(...connection.hops());
      return openHops.filter(hop => hop.suspectNode('silent')).length;
    },
    closeIdleConnections: () => {
      const sinceMillis = nowMillis() - MAX_IDLE_MILLIS;
      for (const connection of [...connections]) {
        if (
          connection.openCount > 0 ||
          connection.lastUsedMillis > sinceMillis
        ) {
          continue;
        }
        connections.delete(connection);
        connection.closeAndTakeHops();
      }
    },
    dispose: () => {
      detachedHops.dispose();
      for (const connection of [...connections]) connection.closeAndTakeHops();
      connections.clear();
    },
  };
}

/**
 * Prefers ready connections, then those with fewer requests, then the most
 * recently used one.
 */
function isBetter(connection: HopConnection, best: HopConnection): boolean {
  const isReady = connection.instanceId !== undefined;
  const isBestReady = best.instanceId !== undefined;
  if (isReady !== isBestReady) return isReady;
  if (connection.openCount !== best.openCount) {
    return connection.openCount < best.openCount;
  }
  return connection.lastUsedMillis > best.lastUsedMillis;
}
