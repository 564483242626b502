/**
 * One open stream to a peer, in either direction.
 */
import type {MessageQueue} from '../base/message_queue.js';
import {createMessageQueue} from '../base/message_queue.js';
import type {Metrics} from '../process/metrics.js';
import type {ControlMessage} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';
import type {PeerHello, PeerView} from './control_codec.js';
import type {ControlPeer} from './control_client.js';

const QUEUED_MESSAGES_COUNT = 64;

/** Which side opened the stream. */
export type LinkDirection = 'inbound' | 'outbound';

/** A stream to a peer with what the peer said about itself. */
export interface PeerLink {
  readonly direction: LinkDirection;
  /** Messages to the peer. */
  readonly outgoing: MessageQueue<ControlMessage>;
  /** The peer as named by itself; undefined before its hello. */
  hello: PeerHello | undefined;
  /** What the peer holds by its latest message. */
  view: PeerView | undefined;
  /** Where the peer was reached; undefined for an inbound link. */
  readonly target: ControlPeer | undefined;
  /** Heartbeats in a row whose status digest differed. */
  statusMismatchesCount: number;
  /** Queues a message; a peer that takes none is cut off. */
  send(message: ControlMessage): void;
}

/** Options of `createPeerLink`. */
export interface PeerLinkOptions {
  readonly direction: LinkDirection;
  readonly target?: ControlPeer;
  readonly metrics: Metrics;
}

/** Creates a link on which nothing has been said yet. */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  const {direction, target, metrics} = options;
  const outgoing = createMessageQueue<ControlMessage>(QUEUED_MESSAGES_COUNT);
  return {
    direction,
    target,
    outgoing,
    hello: undefined,
    view: undefined,
    // A difference seen on a new link needs no second look.
    statusMismatchesCount: 1,
    send: message => {
      if (outgoing.isClosed) return;
      if (outgoing.push(message)) {
        metrics.increment('control.messages_sent', {
          kind: message.message.case ?? 'none',
        });
        return;
      }
      // Dropping one message would lose a status until the digests are
      // compared; a new stream starts with that comparison.
      metrics.increment('control.links_overflowed');
      outgoing.close();
    },
  };
}

/** Name of the peer for logs and counters. */
export function peerNameOf(link: PeerLink): string {
  return link.hello?.hostName ?? link.target?.hostName ?? 'unknown';
}
