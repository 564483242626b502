/**
 * Follows the published documents and brings them into force.
 */
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore, toDisposable} from '../base/lifecycle.js';
import type {DocumentListener} from '../connection/document_listener.js';
import {followDocuments} from '../connection/document_follower.js';
import {createPrefixListener} from '../connection/prefix_listener.js';
import {createFollowerPacing} from '../process/membership/follower_pacing.js';
import type {DocumentRelay} from '../process/membership/document_relay.js';
import type {PeerPositions} from '../process/membership/peer_positions.js';
import type {DocumentListenersOptions} from './document_listeners.js';
import {createDocumentListeners} from './document_listeners.js';

/** What the feeds need. */
export interface DocumentFeedsOptions extends DocumentListenersOptions {
  /** Reports of other nodes, where one watch brings all documents. */
  readonly peerPositions: PeerPositions;
  /** Changes from other nodes, under the same condition. */
  readonly relay: DocumentRelay;
  /** Bound from a document's acknowledgement to its effect here. */
  readonly applyWithinMillis: number;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Running feeds. */
export interface DocumentFeeds extends Disposable {
  /** All upstreams were read at least once. */
  readonly hasUpstreams: boolean;
}

/**
 * What the bound leaves for nodes that ask this one: the time until each of them
 * knows that there is news, and its question.
 */
export const RELAY_RESERVE_MILLIS = 600;

/** Starts to follow both kinds of documents. */
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
      // Revisions of two sources, or of two watches, cannot be compared.
      peerPositions: isShared ? options.peerPositions : undefined,
      relay: isShared ? options.relay : undefined,
      pace: createFollowerPacing({
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
