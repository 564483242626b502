/**
 * Watches the published documents and applies them.
 */
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore, toDisposable} from '../base/lifecycle.js';
import type {DocumentListener} from '../connection/document_listener.js';
import {followDocuments} from '../connection/document_follower.js';
import {createPrefixListener} from '../connection/prefix_listener.js';
import {RELAY_RESERVE_MILLIS} from '../process/membership/document_freshness.js';
import {createFollowerPacing} from '../process/membership/follower_pacing.js';
import type {DocumentRelay} from '../process/membership/document_relay.js';
import type {PeerPositions} from '../process/membership/peer_positions.js';
import type {DocumentListenersOptions} from './document_listeners.js';
import {createDocumentListeners} from './document_listeners.js';

/** Dependencies of the document feeds. */
export interface DocumentFeedsOptions extends DocumentListenersOptions {
  /** Positions reported by other nodes; used if one watch covers all documents. */
  readonly peerPositions: PeerPositions;
  /** Changes relayed by other nodes; used under the same condition. */
  readonly relay: DocumentRelay;
  /** Longest time from the acknowledgement of a document until it is applied here. */
  readonly applyWithinMillis: number;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Running document feeds. */
export interface DocumentFeeds extends Disposable {
  /** All upstreams have been read at least once. */
  readonly hasUpstreams: boolean;
}

/** Starts to watch the configuration and the upstreams. */
export function startDocumentFeeds(
  options: DocumentFeedsOptions,
): DocumentFeeds {
  const {sharedPrefix} = options.documents;
  const store = createDisposableStore();
  const listeners = createDocumentListeners(options);
  const followed =
    sharedPrefix === undefined
      ? listeners.byPrefix
      : new Map([[sharedPrefix, createPrefixListener(listeners.byPrefix)]]);
  for (const [prefix, listener] of followed) {
    store.add(follow(options, prefix, listener));
  }
  return {
    get hasUpstreams() {
      return listeners.hasUpstreams;
    },
    dispose: store.dispose,
  };
}

function follow(
  options: DocumentFeedsOptions,
  prefix: string,
  listener: DocumentListener,
): Disposable {
  const isShared = prefix === options.documents.sharedPrefix;
  const fiber = Effect.runFork(
    followDocuments({
      source: options.documents.source,
      prefix,
      listener,
      // Revisions of different sources or watches are not comparable.
      peerPositions: isShared ? options.peerPositions : undefined,
      relay: isShared ? options.relay : undefined,
      pacing: createFollowerPacing({
        ...options,
        relayReserveMillis: isShared ? RELAY_RESERVE_MILLIS : 0,
      }),
      nowMillis: options.nowMillis,
    }),
  );
  return toDisposable(() => {
    Effect.runFork(Fiber.interrupt(fiber));
  });
}
