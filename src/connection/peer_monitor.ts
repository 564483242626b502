/**
 * Monitors the connections to other nodes.
 *
 * A node behind a network partition, a frozen node and a silently dropped
 * connection all look like a slow upstream: no data arrives. Without a check of
 * its own, the sender would wait until the deadline and send the next request
 * the same way. The monitor therefore pings a silent connection, then opens a
 * new one and resumes the requests of the silent connection there. If the node
 * does not reply on the new connection either, requests that have not been sent
 * completely are failed; for all others their senders are notified, since their
 * upstream may be at work.
 */
import {afterPendingReads} from '../base/io_timeout.js';
import type {Disposable} from '../base/lifecycle.js';
import {createIntervalTimer} from '../base/lifecycle.js';
import {SILENCE_CHECK_MILLIS} from '../process/membership/reconnect_times.js';
import type {ReplyTimeout} from '../process/membership/reply_timeout.js';
import {createReplyTimeout} from '../process/membership/reply_timeout.js';
import type {Endpoint} from '../process/settings/node_settings.js';

/** A connection, as used by the monitor. */
export interface MonitoredConnection {
  readonly lastReceivedMillis: number;
  /** When the oldest open request was sent; `undefined` if there is none. */
  readonly waitingSinceMillis: number | undefined;
  ping(): void;
}

/** A node and its connections. */
export interface MonitoredPeer {
  readonly endpoint: Endpoint;
  connections(): readonly MonitoredConnection[];
  /** Requests whose connection was lost while the node does not reply. */
  readonly detachedHopsCount: number;
  /**
   * Opens a new connection and returns whether the node replied on it. An
   * urgent probe must not fail because of a single lost packet.
   */
  probe(isUrgent: boolean): Promise<boolean>;
  /**
   * The node replied: resumes on other connections the requests of connections
   * that have been silent since `sinceMillis`.
   */
  replaceSilentConnections(sinceMillis: number): void;
  /**
   * Fails requests that have not been sent completely and returns their number; notifies
   * the senders of all others.
   */
  suspectHops(): number;
}

/** Monitors nodes. */
export interface PeerMonitor extends Disposable {
  add(peer: MonitoredPeer): PeerLiveness;
}

/** Liveness of one node. */
export interface PeerLiveness {
  /** The node did not reply to the last probe. */
  readonly isLost: boolean;
  /** Data arrived from the node. */
  recordActivity(): void;
}

export interface PeerMonitorOptions {
  readonly nowMillis: () => number;
  readonly replyTimeout?: ReplyTimeout;
  readonly onPeerLost: (endpoint: Endpoint, hopsCount: number) => void;
  readonly onPeerFound: (endpoint: Endpoint) => void;
}

/** Silence after which a connection is pinged; a ping costs one small frame. */
const PING_MILLIS = 150;

/** Interval between probes of a node that did not reply. */
const LOST_PROBE_MILLIS = 500;

/** Other nodes that are probed before a node is marked as lost. */
const REFERENCE_PEERS_COUNT = 3;

interface PeerState {
  readonly peer: MonitoredPeer;
  readonly pingedMillis: WeakMap<MonitoredConnection, number>;
  /** Time of the last ping on a connection that was replied to. */
  readonly repliedMillis: WeakMap<MonitoredConnection, number>;
  lastReceivedMillis: number;
  probedMillis: number;
  isProbing: boolean;
  isLost: boolean;
  /** The last silence was attributed to this process. */
  wasLocalFault: boolean;
}

/** Creates a monitor without nodes. */
export function createPeerMonitor(options: PeerMonitorOptions): PeerMonitor {
  const states = new Set<PeerState>();
  let isDisposed = false;
  const {nowMillis, replyTimeout = createReplyTimeout()} = options;

  const probePeer = async (state: PeerState): Promise<void> => {
    const {peer} = state;
    state.isProbing = true;
    state.probedMillis = nowMillis();
    const probedMillis = state.probedMillis;
    const hasReplied = await peer.probe(true);
    const isSilent = (): boolean =>
      !hasReplied && state.lastReceivedMillis < probedMillis;
    const hasLocalFault =
      isSilent() && !state.wasLocalFault && (await isLocalFault(state));
    state.wasLocalFault = hasLocalFault;
    state.isProbing = false;
    if (isSilent() && !hasLocalFault) markLost(state);
    if (!hasReplied) return;
    recordReceived(state);
    peer.replaceSilentConnections(probedMillis - PING_MILLIS);
  };

  /**
   * If the most recently active nodes do not reply either, the fault is more
   * likely local, and a slow process would fail healthy requests. Assumed only
   * once in a row: a node that is cut off reaches no other node, but can still
   * use its own upstream.
   */
  const isLocalFault = async (state: PeerState): Promise<boolean> => {
    const others = [...states]
      .filter(other => other !== state && !other.isLost)
      .sort((a, b) => b.lastReceivedMillis - a.lastReceivedMillis)
      .slice(0, REFERENCE_PEERS_COUNT);
    if (others.length === 0) return false;
    const replies = await Promise.all(
      others.map(other => other.peer.probe(false)),
    );
    return !replies.includes(true);
  };

  const markLost = (state: PeerState): void => {
    const wasLost = state.isLost;
    state.isLost = true;
    const failedCount = state.peer.suspectHops();
    if (wasLost) return;
    options.onPeerLost(state.peer.endpoint, failedCount);
  };

  const recordReceived = (state: PeerState): void => {
    state.lastReceivedMillis = nowMillis();
    if (!state.isLost) return;
    state.isLost = false;
    options.onPeerFound(state.peer.endpoint);
  };

  /** Treats the first data received after a ping as the reply to it. */
  const observeReply = (
    {pingedMillis, repliedMillis}: PeerState,
    connection: MonitoredConnection,
  ): void => {
    const lastPingMillis = pingedMillis.get(connection);
    if (lastPingMillis === undefined) return;
    if (connection.lastReceivedMillis <= lastPingMillis) return;
    if (repliedMillis.get(connection) === lastPingMillis) return;
    repliedMillis.set(connection, lastPingMillis);
    replyTimeout.observe(connection.lastReceivedMillis - lastPingMillis);
  };

  const checkSilence = (state: PeerState, now: number): boolean => {
    let isSilent = false;
    for (const connection of state.peer.connections()) {
      const {waitingSinceMillis, lastReceivedMillis} = connection;
      if (waitingSinceMillis === undefined) continue;
      const sinceMillis = Math.max(waitingSinceMillis, lastReceivedMillis);
      observeReply(state, connection);
      if (now - sinceMillis > replyTimeout.currentMillis()) isSilent = true;
      if (now - sinceMillis <= PING_MILLIS) continue;
      const pingedMillis = state.pingedMillis.get(connection) ?? 0;
      if (now - pingedMillis <= PING_MILLIS) continue;
      state.pingedMillis.set(connection, now);
      connection.ping();
    }
    return isSilent;
  };

  const shouldProbe = (state: PeerState, now: number): boolean => {
    if (state.isProbing) return false;
    const isTooSoon = now - state.probedMillis <= LOST_PROBE_MILLIS;
    if (state.isLost || state.peer.detachedHopsCount > 0) return !isTooSoon;
    return checkSilence(state, now);
  };

  /** After a stall of this process, data of the node may have arrived unread. */
  const probeUnlessRead = (state: PeerState): void => {
    afterPendingReads(() => {
      if (isDisposed || !shouldProbe(state, nowMillis())) return;
      void probePeer(state);
    });
  };

  const timer = createIntervalTimer(SILENCE_CHECK_MILLIS, () => {
    const now = nowMillis();
    for (const state of states) {
      if (shouldProbe(state, now)) probeUnlessRead(state);
    }
  });

  return {
    add: peer => {
      const state: PeerState = {
        peer,
        pingedMillis: new WeakMap(),
        repliedMillis: new WeakMap(),
        lastReceivedMillis: 0,
        probedMillis: 0,
        isProbing: false,
        isLost: false,
        wasLocalFault: false,
      };
      states.add(state);
      return {
        get isLost() {
          return state.isLost;
        },
        recordActivity: () => {
          recordReceived(state);
        },
      };
    },
    dispose: () => {
      isDisposed = true;
      timer.dispose();
    },
  };
}
