/**
 * One other node: the connections to it, the choice among them, and the way of
 * a request from a lost connection to the next.
 */
import type {ReplyTimeout} from '../process/membership/reply_timeout.js';
import {createReplyTimeout} from '../process/membership/reply_timeout.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import type {LoadFields} from '../protocol/hop_messages.js';
import type {
  HopConnection,
  HopConnectionCloseReason,
} from './hop_connection.js';
import {openHopConnection} from './hop_connection.js';
import type {OutgoingHop} from './outgoing_hop.js';
import type {MonitoredPeer} from './peer_monitor.js';

/** Another node as requests are sent to it. */
export interface HopPeer extends MonitoredPeer {
  send(hop: OutgoingHop): void;
  /** Sends a question; its first byte is its kind. */
  sendQuery(question: Buffer): void;
  /** Closes connections that have not been used for a while. */
  closeIdleConnections(): void;
  dispose(): void;
}

/** What a peer needs. */
export interface HopPeerOptions {
  readonly endpoint: Endpoint;
  readonly nowMillis: () => number;
  readonly replyBound?: ReplyTimeout;
  readonly onDataReceived: () => void;
  readonly onLoads: (loads: readonly LoadFields[]) => void;
  readonly onChanges: (answer: Buffer) => void;
  /** So many requests went on after their connection was lost. */
  readonly onHopsResumed: (hopsCount: number) => void;
}

/**
 * Connections to one node: a lost packet holds up all that is on its
 * connection, so that a few share the load.
 */
const MAX_LINKS_COUNT = 4;

/** Requests on each connection before another one is opened. */
const HOPS_PER_LINK_COUNT = 2;

/**
 * Idle time after which a connection is closed: what stands between nodes may
 * forget one that is idle, and a new one costs a round trip.
 */
const MAX_IDLE_MILLIS = 4000;

/**
 * Fresh connections opened at the same time if it is urgent. One packet in
 * thirty is lost on a bad link, and a lost first packet is sent again only
 * after a second.
 */
const URGENT_COUNT = 2;

const NOTHING = (): void => undefined;

/** What came of opening a fresh connection. */
type Fresh = HopConnection | 'refused' | 'silent';

/** Creates a peer without connections. */
export function createHopPeer(options: HopPeerOptions): HopPeer {
  const {endpoint, nowMillis, replyBound = createReplyTimeout()} = options;
  const links = new Set<HopConnection>();
  const stranded = new Set<OutgoingHop>();
  let opening: Promise<Fresh> | undefined;

  const open = (
    onReady: () => void,
    onFailed: (how: HopConnectionCloseReason) => void,
  ): HopConnection => {
    const link = openHopConnection({
      peer: endpoint,
      nowMillis,
      onReady,
      onDataReceived: options.onDataReceived,
      onLoads: options.onLoads,
      onChanges: options.onChanges,
      onClosed: (how, hops) => {
        links.delete(link);
        onFailed(how);
        continueAfter(how, hops);
      },
    });
    return link;
  };
  const openForHops = (): HopConnection => {
    const link = open(NOTHING, NOTHING);
    links.add(link);
    return link;
  };
  const continueAfter = (
    how: HopConnectionCloseReason,
    hops: readonly OutgoingHop[],
  ): void => {
    if (hops.length === 0) return;
    if (how === 'closed') {
      void goOn(hops);
      return;
    }
    for (const hop of hops) hop.fail('unreachable');
  };

  /** Goes on with requests on a fresh connection to the same process. */
  const goOn = async (hops: readonly OutgoingHop[]): Promise<void> => {
    for (const hop of hops) stranded.add(hop);
    const fresh = await openFresh(true);
    for (const hop of hops) {
      if (!stranded.has(hop)) continue;
      if (!hop.isOpen) stranded.delete(hop);
      else if (fresh === 'refused') settle(hop);
      else if (fresh !== 'silent') claim(fresh, hop);
    }
    if (typeof fresh !== 'string') options.onHopsResumed(hops.length);
  };
  /** The process that had it has ended, so the outcome is unknown. */
  const settle = (hop: OutgoingHop): void => {
    stranded.delete(hop);
    hop.fail('connection-lost');
  };
  const claim = (fresh: HopConnection, hop: OutgoingHop): void => {
    if (hop.instanceId === fresh.instanceId) {
      stranded.delete(hop);
      fresh.claim(hop);
      return;
    }
    settle(hop);
  };

  /** Those that ask at the same time share the connection. */
  const openFresh = (isUrgent: boolean): Promise<Fresh> => {
    opening ??= openFirst(isUrgent ? URGENT_COUNT : 1).finally(() => {
      opening = undefined;
    });
    return opening;
  };
  const openFirst = (count: number): Promise<Fresh> =>
    new Promise(resolve => {
      const trials = new Set<HopConnection>();
      const askedMillis = nowMillis();
      let isSettled = false;
      const finish = (how: Fresh): void => {
        if (isSettled) return;
        isSettled = true;
        clearTimeout(timer);
        for (const trial of trials) {
          if (trial !== how) trial.closeAndTakeHops();
        }
        if (typeof how !== 'string') links.add(how);
        resolve(how);
      };
      const timer = setTimeout(() => {
        finish('silent');
      }, replyBound.currentMillis());
      for (let index = 0; index < count; index += 1) {
        const trial = open(
          () => {
            if (!isSettled) replyBound.observe(nowMillis() - askedMillis);
            finish(trial);
          },
          how => {
            trials.delete(trial);
            if (trials.size > 0) return;
            finish(how === 'refused' ? 'refused' : 'silent');
          },
        );
        trials.add(trial);
      }
    });

  const chooseLink = (): HopConnection => {
    let best: HopConnection | undefined;
    for (const link of links) {
      if (link.isGoingAway) continue;
      if (best === undefined || isBetter(link, best)) best = link;
    }
    if (best === undefined) return openForHops();
    const isBusy = best.openCount >= HOPS_PER_LINK_COUNT;
    if (isBusy && links.size < MAX_LINKS_COUNT) openForHops();
    return best;
  };

  return {
    endpoint,
    connections: () => [...links],
    get detachedHopsCount() {
      return stranded.size;
    },
    send: hop => {
      chooseLink().send(hop);
    },
    sendQuery: question => {
      chooseLink().sendQuery(question);
    },
    probe: async isUrgent => {
      const fresh = await openFresh(isUrgent);
      return typeof fresh !== 'string';
    },
    replaceSilentConnections: sinceMillis => {
      const hops: OutgoingHop[] = [...stranded];
      for (const link of [...links]) {
        if (link.waitingSinceMillis === undefined) continue;
        if (link.lastReceivedMillis >= sinceMillis) continue;
        if (link.waitingSinceMillis >= sinceMillis) continue;
        links.delete(link);
        hops.push(...link.closeAndTakeHops());
      }
      if (hops.length > 0) void goOn(hops);
    },
    failResendableHops: () => {
      const open = [...stranded];
      for (const link of links) open.push(...link.hops());
      const expendable = open.filter(hop => hop.isResendable);
      for (const hop of expendable) {
        stranded.delete(hop);
        hop.fail('silent');
      }
      return expendable.length;
    },
    closeIdleConnections: () => {
      const sinceMillis = nowMillis() - MAX_IDLE_MILLIS;
      for (const hop of stranded) {
        if (!hop.isOpen) stranded.delete(hop);
      }
      for (const link of [...links]) {
        if (link.openCount > 0 || link.lastUsedMillis > sinceMillis) continue;
        links.delete(link);
        link.closeAndTakeHops();
      }
    },
    dispose: () => {
      for (const link of [...links]) link.closeAndTakeHops();
      links.clear();
    },
  };
}

/** Ready ones first, then those with fewer requests, then the last used. */
function isBetter(link: HopConnection, best: HopConnection): boolean {
  const isReady = link.instanceId !== undefined;
  const isBestReady = best.instanceId !== undefined;
  if (isReady !== isBestReady) return isReady;
  if (link.openCount !== best.openCount) return link.openCount < best.openCount;
  return link.lastUsedMillis > best.lastUsedMillis;
}
