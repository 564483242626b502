/**
 * Watches over the connections to other nodes.
 *
 * A node behind a network partition, a frozen one, and a connection that went
 * silent all look like a slow upstream: nothing comes. Without a question of
 * its own the sender would wait until the deadline and send the next request
 * the same way. So it asks for a sign of life on the connection, then opens a
 * fresh one, and goes on there with what was on the silent one; if the node
 * does not reply there either, what may be sent elsewhere is given up.
 */
import type {Disposable} from '../base/lifecycle.js';
import {createIntervalTimer} from '../base/lifecycle.js';
import type {ReplyTimeout} from '../process/membership/reply_timeout.js';
import {createReplyTimeout} from '../process/membership/reply_timeout.js';
import type {Endpoint} from '../process/settings/node_settings.js';

/** A connection as the watch sees it. */
export interface MonitoredConnection {
  readonly lastReceivedMillis: number;
  /** When the oldest request on it was sent; `undefined` if there is none. */
  readonly waitingSinceMillis: number | undefined;
  /** Asks for a sign of life. */
  ping(): void;
}

/** A node with its connections. */
export interface MonitoredPeer {
  readonly endpoint: Endpoint;
  connections(): readonly MonitoredConnection[];
  /** Requests whose connection is lost while the node does not reply. */
  readonly detachedHopsCount: number;
  /**
   * Opens a fresh connection and returns whether the node replied on it. Urgent
   * questions must not fail because of one lost packet.
   */
  probe(isUrgent: boolean): Promise<boolean>;
  /**
   * The node replied: goes on elsewhere with the requests of connections that
   * have been silent since before, and with those stranded.
   */
  replaceSilentConnections(sinceMillis: number): void;
  /** Gives up what may be sent elsewhere; returns how many. */
  failResendableHops(): number;
}

/** Watches over nodes. */
export interface PeerMonitor extends Disposable {
  add(peer: MonitoredPeer): PeerLiveness;
}

/** What is known of the life of one node. */
export interface PeerLiveness {
  /** It did not reply when it was asked last. */
  readonly isLost: boolean;
  /** Something arrived from it. */
  recordActivity(): void;
}

/** What a watch needs. */
export interface PeerMonitorOptions {
  readonly nowMillis: () => number;
  readonly replyBound?: ReplyTimeout;
  readonly onPeerLost: (endpoint: Endpoint, hopsCount: number) => void;
  readonly onPeerFound: (endpoint: Endpoint) => void;
}

const TICK_MILLIS = 100;

/** Silence after which a sign of life is asked for; it costs one small frame. */
const PING_MILLIS = 150;

/** Interval at which a node that did not reply is asked again. */
const LOST_ASK_MILLIS = 500;

/** Other nodes that are asked before one is taken for lost. */
const WITNESSES_COUNT = 3;

interface PeerState {
  readonly peer: MonitoredPeer;
  readonly pingedMillis: WeakMap<MonitoredConnection, number>;
  /** The last question on a connection that was replied to. */
  readonly repliedMillis: WeakMap<MonitoredConnection, number>;
  heardMillis: number;
  askedMillis: number;
  isAsking: boolean;
  isLost: boolean;
  /** Its last silence was put down to this node. */
  wasExcused: boolean;
}

/** Creates a watch without nodes. */
export function createPeerMonitor(options: PeerMonitorOptions): PeerMonitor {
  const states = new Set<PeerState>();
  const {nowMillis, replyBound = createReplyTimeout()} = options;

  const check = async (state: PeerState): Promise<void> => {
    const {peer} = state;
    state.isAsking = true;
    state.askedMillis = nowMillis();
    const askedMillis = state.askedMillis;
    const hasReplied = await peer.probe(true);
    const isSilent = !hasReplied && state.heardMillis < askedMillis;
    const isExcused =
      isSilent && !state.wasExcused && (await isOwnFault(state));
    state.wasExcused = isExcused;
    state.isAsking = false;
    if (isSilent && !isExcused) losePeer(state);
    if (!hasReplied) return;
    hear(state);
    peer.replaceSilentConnections(askedMillis - PING_MILLIS);
  };

  /**
   * If the nodes heard last do not reply either, the fault is more likely here:
   * a process that is slow itself would give up requests that are well. Once
   * only: a node that is cut off has no others to ask, and its own upstream.
   */
  const isOwnFault = async (state: PeerState): Promise<boolean> => {
    const others = [...states]
      .filter(other => other !== state && !other.isLost)
      .sort((a, b) => b.heardMillis - a.heardMillis)
      .slice(0, WITNESSES_COUNT);
    if (others.length === 0) return false;
    const replies = await Promise.all(
      others.map(other => other.peer.probe(false)),
    );
    return !replies.includes(true);
  };

  const losePeer = (state: PeerState): void => {
    const wasLost = state.isLost;
    state.isLost = true;
    const givenUpCount = state.peer.failResendableHops();
    if (wasLost) return;
    options.onPeerLost(state.peer.endpoint, givenUpCount);
  };

  const hear = (state: PeerState): void => {
    state.heardMillis = nowMillis();
    if (!state.isLost) return;
    state.isLost = false;
    options.onPeerFound(state.peer.endpoint);
  };

  /** What was heard first after a question is taken for its reply. */
  const learnReply = (
    {pingedMillis, repliedMillis}: PeerState,
    connection: MonitoredConnection,
  ): void => {
    const askedMillis = pingedMillis.get(connection);
    if (askedMillis === undefined) return;
    if (connection.lastReceivedMillis <= askedMillis) return;
    if (repliedMillis.get(connection) === askedMillis) return;
    repliedMillis.set(connection, askedMillis);
    replyBound.observe(connection.lastReceivedMillis - askedMillis);
  };

  const isSuspect = (state: PeerState, now: number): boolean => {
    let isSilent = false;
    for (const connection of state.peer.connections()) {
      const {waitingSinceMillis, lastReceivedMillis} = connection;
      if (waitingSinceMillis === undefined) continue;
      const sinceMillis = Math.max(waitingSinceMillis, lastReceivedMillis);
      learnReply(state, connection);
      if (now - sinceMillis > replyBound.currentMillis()) isSilent = true;
      if (now - sinceMillis <= PING_MILLIS) continue;
      const pingedMillis = state.pingedMillis.get(connection) ?? 0;
      if (now - pingedMillis <= PING_MILLIS) continue;
      state.pingedMillis.set(connection, now);
      connection.ping();
    }
    return isSilent;
  };

  const isDue = (state: PeerState, now: number): boolean => {
    if (state.isAsking) return false;
    const isSoon = now - state.askedMillis <= LOST_ASK_MILLIS;
    if (state.isLost || state.peer.detachedHopsCount > 0) return !isSoon;
    return isSuspect(state, now);
  };

  const timer = createIntervalTimer(TICK_MILLIS, () => {
    const now = nowMillis();
    for (const state of states) {
      if (isDue(state, now)) void check(state);
    }
  });

  return {
    add: peer => {
      const state: PeerState = {
        peer,
        pingedMillis: new WeakMap(),
        repliedMillis: new WeakMap(),
        heardMillis: 0,
        askedMillis: 0,
        isAsking: false,
        isLost: false,
        wasExcused: false,
      };
      states.add(state);
      return {
        get isLost() {
          return state.isLost;
        },
        recordActivity: () => {
          hear(state);
        },
      };
    },
    dispose: timer.dispose,
  };
}
