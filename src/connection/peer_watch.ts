/**
 * Watches over requests on their way to other nodes.
 *
 * A node behind a network partition, a frozen one, and a connection that went
 * silent all look like a slow upstream: nothing comes. Without a question of
 * its own the sender would wait until the deadline and send the next request
 * the same way. So it asks the node on a fresh connection, and gives up what
 * the node does not have or, if there is no reply, what may be sent elsewhere.
 */
import type {Disposable} from '../base/lifecycle.js';
import {createIntervalTimer} from '../base/lifecycle.js';
import type {Endpoint} from '../process/node_settings.js';
import type {HopState} from '../process/hop_registry.js';

/** A request on its way. */
export interface WatchedHop {
  readonly hopId: string;
  readonly peer: Endpoint;
  readonly startedMillis: number;
  /** Sent elsewhere it could do no harm, or it cannot run before a reply. */
  readonly isExpendable: () => boolean;
  /** The peer does not have it and never will. */
  readonly giveUpNotRun: () => void;
  /** It may have run, and no answer is to be expected. */
  readonly giveUp: () => void;
}

/** Watches over hops. */
export interface PeerWatch extends Disposable {
  watch(hop: WatchedHop): Disposable;
  /** A peer did not reply when it was asked last. */
  isLost(peer: Endpoint): boolean;
  /** Something arrived from a peer. */
  noteHeard(peer: Endpoint): void;
}

/**
 * Asks a peer for the states of hops; `undefined` if it does not reply. Urgent
 * questions must not fail because of one lost packet.
 */
export type AskPeer = (
  peer: Endpoint,
  hopIds: readonly string[],
  isUrgent: boolean,
) => Promise<readonly HopState[] | undefined>;

/** What a watch needs. */
export interface PeerWatchOptions {
  readonly ask: AskPeer;
  readonly nowMillis: () => number;
  readonly onPeerLost: (peer: Endpoint, hopsCount: number) => void;
  readonly onPeerFound: (peer: Endpoint) => void;
  readonly onHopLost: (peer: Endpoint, state: HopState) => void;
}

const TICK_MILLIS = 100;

/**
 * Silence of a peer that owes an answer after which it is asked: many times
 * the way between regions, and short against a request's own time.
 */
const PEER_SILENT_MILLIS = 250;

/** Interval at which a peer that did not reply is asked again. */
const LOST_ASK_MILLIS = 500;

/** Other peers that are asked before one is taken for lost. */
const WITNESSES_COUNT = 3;

/**
 * Age of one hop at which it is asked for although its peer is heard: most of
 * a second, since under load many requests last half of one, and each question
 * costs a connection.
 */
const HOP_SILENT_MILLIS = 900;

interface Peer {
  readonly endpoint: Endpoint;
  readonly hops: Set<WatchedHop>;
  readonly finished: Set<WatchedHop>;
  heardMillis: number;
  askedMillis: number;
  isAsking: boolean;
  isLost: boolean;
  /** Its last silence was put down to this node. */
  wasExcused: boolean;
}

/** Creates a watch without hops. */
export function createPeerWatch(options: PeerWatchOptions): PeerWatch {
  const peers = new Map<string, Peer>();
  const {nowMillis} = options;

  const peerOf = (endpoint: Endpoint): Peer => {
    const key = `${endpoint.address}:${String(endpoint.port)}`;
    const known = peers.get(key);
    if (known !== undefined) return known;
    const created: Peer = {
      endpoint,
      hops: new Set(),
      finished: new Set(),
      heardMillis: 0,
      askedMillis: 0,
      isAsking: false,
      isLost: false,
      wasExcused: false,
    };
    peers.set(key, created);
    return created;
  };

  const check = async (peer: Peer): Promise<void> => {
    const asked = [...peer.hops];
    const isUrgent = nowMillis() - peer.heardMillis > PEER_SILENT_MILLIS;
    peer.isAsking = true;
    peer.askedMillis = nowMillis();
    const states = await options.ask(
      peer.endpoint,
      asked.map(hop => hop.hopId),
      isUrgent,
    );
    const isSilent =
      isUrgent && states === undefined && peer.heardMillis < peer.askedMillis;
    const isExcused = isSilent && !peer.wasExcused && (await isOwnFault(peer));
    const isLost = isSilent && !isExcused;
    peer.wasExcused = isExcused;
    peer.isAsking = false;
    if (isLost) losePeer(peer, asked);
    if (states === undefined) return;
    hear(peer);
    for (const [index, hop] of asked.entries()) {
      settle(peer, hop, states[index] ?? 'working');
    }
  };

  /**
   * If the peers heard last do not reply either, the fault is more likely here:
   * a process that is slow itself would give up requests that are well. Once
   * only: a node that is cut off has nobody to ask, and its own upstream.
   */
  const isOwnFault = async (peer: Peer): Promise<boolean> => {
    const others = [...peers.values()]
      .filter(other => other !== peer && !other.isLost)
      .sort((a, b) => b.heardMillis - a.heardMillis)
      .slice(0, WITNESSES_COUNT);
    if (others.length === 0) return false;
    const replies = await Promise.all(
      others.map(other => options.ask(other.endpoint, [], false)),
    );
    return replies.every(reply => reply === undefined);
  };

  const losePeer = (peer: Peer, asked: readonly WatchedHop[]): void => {
    const wasLost = peer.isLost;
    peer.isLost = true;
    const lost = asked.filter(hop => peer.hops.has(hop) && hop.isExpendable());
    if (!wasLost) options.onPeerLost(peer.endpoint, lost.length);
    for (const hop of lost) hop.giveUp();
  };

  /** An answer that was written and does not come is given up at the second asking. */
  const settle = (peer: Peer, hop: WatchedHop, state: HopState): void => {
    if (!peer.hops.has(hop) || state === 'working') return;
    if (state === 'finished' && !peer.finished.has(hop)) {
      peer.finished.add(hop);
      return;
    }
    options.onHopLost(hop.peer, state);
    if (state === 'unknown') hop.giveUpNotRun();
    else hop.giveUp();
  };

  const hear = (peer: Peer): void => {
    peer.heardMillis = nowMillis();
    if (!peer.isLost) return;
    peer.isLost = false;
    options.onPeerFound(peer.endpoint);
  };

  const isDue = (peer: Peer, now: number): boolean => {
    if (peer.isAsking) return false;
    if (peer.isLost) return now - peer.askedMillis > LOST_ASK_MILLIS;
    if (peer.hops.size === 0) return false;
    let oldestMillis = now;
    for (const hop of peer.hops) {
      oldestMillis = Math.min(oldestMillis, hop.startedMillis);
    }
    const since = Math.max(oldestMillis, peer.askedMillis);
    const silentSince = Math.max(since, peer.heardMillis);
    return (
      now - silentSince > PEER_SILENT_MILLIS || now - since > HOP_SILENT_MILLIS
    );
  };

  const timer = createIntervalTimer(TICK_MILLIS, () => {
    const now = nowMillis();
    for (const peer of peers.values()) {
      if (isDue(peer, now)) void check(peer);
    }
  });

  return {
    watch: hop => {
      const peer = peerOf(hop.peer);
      peer.hops.add(hop);
      return {
        dispose: () => {
          peer.hops.delete(hop);
          peer.finished.delete(hop);
        },
      };
    },
    isLost: endpoint => peerOf(endpoint).isLost,
    noteHeard: endpoint => {
      hear(peerOf(endpoint));
    },
    dispose: timer.dispose,
  };
}
