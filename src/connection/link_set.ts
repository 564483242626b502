/**
 * The open streams of a node, in both directions.
 */
import type {Disposable} from '../base/lifecycle.js';
import type {Event} from '../base/event.js';
import {createEmitter} from '../base/event.js';
import type {LinkDirection, PeerLink} from './peer_link.js';
import {peerNameOf} from './peer_link.js';

/** Open streams. */
export interface LinkSet extends Iterable<PeerLink>, Disposable {
  readonly size: number;
  /** Adds a link; an earlier inbound one of the same peer is closed. */
  add(link: PeerLink): void;
  /** Removes a link; false if it was not open. */
  delete(link: PeerLink): boolean;
  has(link: PeerLink): boolean;
  /** Whether a stream in a direction joins this node and a host. */
  isLinked(direction: LinkDirection, hostName: string): boolean;
  /** Fires with the number of links. */
  readonly onDidChange: Event<number>;
}

/** Creates an empty set. */
export function createLinkSet(): LinkSet {
  const links = new Set<PeerLink>();
  const changed = createEmitter<number>();

  /** A new stream of a peer means that its earlier one is of no use to it. */
  function closeEarlierInbound(link: PeerLink): void {
    for (const other of links) {
      const isSame = peerNameOf(other) === peerNameOf(link);
      if (other.direction === 'inbound' && isSame) other.outgoing.close();
    }
  }

  return {
    get size() {
      return links.size;
    },
    add: link => {
      if (link.direction === 'inbound') closeEarlierInbound(link);
      links.add(link);
      changed.fire(links.size);
    },
    delete: link => {
      const wasOpen = links.delete(link);
      if (wasOpen) changed.fire(links.size);
      return wasOpen;
    },
    has: link => links.has(link),
    isLinked: (direction, hostName) => {
      for (const link of links) {
        const isSame = peerNameOf(link) === hostName;
        if (link.direction === direction && isSame) return true;
      }
      return false;
    },
    onDidChange: changed.event,
    [Symbol.iterator]: () => links[Symbol.iterator](),
    dispose: () => {
      changed.dispose();
    },
  };
}
