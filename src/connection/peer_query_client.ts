/**
 * Kept connections for questions to other nodes, apart from those that requests
 * are sent on: a connection in use is not closed as idle, and requests on it would
 * wait for a node that a partition has silenced.
 */
import type {Disposable} from '../base/lifecycle.js';
import {formatEndpoint} from '../process/settings/format_endpoint.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import {FRAME_KIND} from '../protocol/hop_frames.js';
import type {FrameConnection} from './frame_connection.js';
import {openFrameConnection} from './frame_connection.js';

/** Links of one node. */
export interface PeerQueryClient extends Disposable {
  query(peer: Endpoint, question: Buffer): Promise<PeerQueryResult>;
  /** Closes connections that have not been used for a while. */
  closeIdleConnections(): void;
}

/** Payload of the answer, or why there is none. */
export type PeerQueryResult =
  | Buffer
  /** Nothing came. */
  | 'silent'
  /** The connection was refused or closed, or the answer is of another kind. */
  | 'closed';

/** What links need. */
export interface PeerQueryClientOptions {
  /** Kind of the frames that answer; any other one is no answer. */
  readonly responseKind: number;
  readonly nowMillis: () => number;
}

/** Bound on one answer; a node that is reachable answers within milliseconds. */
const ANSWER_TIMEOUT_MILLIS = 400;

const MAX_IDLE_MILLIS = 4000;

const NOTHING = (): void => undefined;

interface Link {
  readonly connection: FrameConnection;
  readonly pending: Map<number, (end: PeerQueryResult) => void>;
  usedMillis: number;
  lastChannelId: number;
}

/** Creates links without connections. */
export function createPeerQueryClient(
  options: PeerQueryClientOptions,
): PeerQueryClient {
  const {nowMillis} = options;
  const links = new Map<string, Link>();

  const drop = (
    key: string,
    link: Link,
    end: Extract<PeerQueryResult, string>,
  ): void => {
    if (links.get(key) === link) links.delete(key);
    const finishes = [...link.pending.values()];
    link.pending.clear();
    for (const finish of finishes) finish(end);
  };

  const open = (key: string, peer: Endpoint): Link => {
    const link: Link = {
      connection: openFrameConnection(peer, {
        onConnected: NOTHING,
        onDataReceived: NOTHING,
        onFrame: ({kind, channelId, payload}) => {
          if (kind === FRAME_KIND.goingAway) {
            link.connection.end();
            drop(key, link, 'closed');
            return;
          }
          const isAnswer = kind === options.responseKind;
          link.pending.get(channelId)?.(isAnswer ? payload : 'closed');
        },
        onClosed: () => {
          drop(key, link, 'closed');
        },
      }),
      pending: new Map(),
      usedMillis: nowMillis(),
      lastChannelId: 0,
    };
    links.set(key, link);
    return link;
  };

  return {
    query: (peer, question) => {
      const key = formatEndpoint(peer);
      const link = links.get(key) ?? open(key, peer);
      link.usedMillis = nowMillis();
      link.lastChannelId += 1;
      const channelId = link.lastChannelId;
      return new Promise(resolve => {
        // A connection without an answer may have fallen silent for good.
        const timer = setTimeout(() => {
          link.connection.destroy();
          drop(key, link, 'silent');
        }, ANSWER_TIMEOUT_MILLIS);
        link.pending.set(channelId, end => {
          clearTimeout(timer);
          link.pending.delete(channelId);
          resolve(end);
        });
        link.connection.send(FRAME_KIND.ping, channelId, question);
      });
    },
    closeIdleConnections: () => {
      const sinceMillis = nowMillis() - MAX_IDLE_MILLIS;
      for (const [key, link] of links) {
        if (link.pending.size > 0 || link.usedMillis > sinceMillis) continue;
        links.delete(key);
        link.connection.end();
      }
    },
    dispose: () => {
      for (const [key, link] of [...links]) {
        link.connection.destroy();
        drop(key, link, 'closed');
      }
    },
  };
}
