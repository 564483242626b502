/**
 * State of a document follower, shared by its two tasks: calls to the source,
 * and polls of other nodes.
 */
import * as Effect from 'effect/Effect';
import type {
  DocumentBatch,
  SourcePosition,
} from '../process/membership/document_source.js';
import {laterPosition} from '../process/membership/document_source.js';
import type {DocumentRelay} from '../process/membership/document_relay.js';
import type {PeerPositions} from '../process/membership/peer_positions.js';
import type {DocumentListener, SourceCall} from './document_listener.js';

/** Whether the next call must be a read. */
export type ReadRequirement =
  | 'no'
  /** One read; if it fails, watches continue from the last position. */
  | 'once'
  /** The last position is invalid: reads are retried until one succeeds. */
  | 'until-read';

/** State of one follower. */
export interface FollowerState {
  /**
   * Position up to which all documents are known; `undefined` before the first
   * read.
   */
  readonly position: SourcePosition | undefined;
  readonly readRequirement: ReadRequirement;
  /** A read is in progress; it returns the documents as of its start. */
  readonly isReading: boolean;
  /** The last call failed. */
  readonly isSourceLost: boolean;
  /** Neither the source nor another node responds. */
  readonly isLost: boolean;
  /** This node watches the source, because no other node does so for it. */
  readonly isWatching: boolean;
  /**
   * Another node relays changes to this one, whose knowledge is recent, and no
   * read is required.
   */
  readonly isIdle: boolean;
  /** Completes when the follower is no longer idle. */
  readonly untilNotIdle: Effect.Effect<undefined>;
  /** Start time of the last call. */
  readonly callStartedMillis: number;
  /**
   * Reports how a call ended; `sinceMillis` defaults to the start of the last
   * call.
   */
  reportCall(
    call: SourceCall,
    response?: DocumentBatch,
    sinceMillis?: number,
  ): void;
  beginCall(isRead: boolean): void;
  requireRead(requirement: ReadRequirement): void;
  setWatching(isWatching: boolean): void;
  /** Records whether the last call to the source failed. */
  setSourceLost(isLost: boolean): void;
  /** A watch was cancelled because other nodes have later changes. */
  markStale(): void;
  /** The source or another node responded. */
  markReached(): void;
  /** Neither the source nor another node responds any more. */
  markLost(reason: string): void;
  /** Applies a read of all documents, complete up to a time. */
  applySnapshot(snapshot: DocumentBatch, knownUntilMillis: number): void;
  /**
   * Applies changes after a position, complete up to a time; skips those that
   * the other task has already applied.
   */
  applyChanges(
    after: SourcePosition,
    batch: DocumentBatch,
    knownUntilMillis: number,
  ): void;
}

export interface FollowerStateOptions {
  readonly listener: DocumentListener;
  /** Later positions that other nodes report; if omitted, none are reported. */
  readonly peerPositions?: PeerPositions | undefined;
  /**
   * Changes from other nodes; if omitted, this node always watches the source.
   */
  readonly relay?: DocumentRelay | undefined;
  readonly nowMillis: () => number;
}

/** Creates the state of a follower that has not read yet. */
export function createFollowerState(
  options: FollowerStateOptions,
): FollowerState {
  const {listener, peerPositions, relay, nowMillis} = options;
  let position: SourcePosition | undefined;
  let readRequirement: ReadRequirement = 'until-read';
  let isReading = false;
  let isSourceLost = false;
  let isWatching = relay === undefined;
  let isStale = false;
  let isBeforeFirstResponse = true;
  let lostAtMillis: number | undefined;
  let callStartedMillis = 0;
  let wake = (): void => undefined;

  const isIdle = (): boolean =>
    !isWatching &&
    !isSourceLost &&
    position !== undefined &&
    readRequirement === 'no' &&
    relay !== undefined &&
    relay.freshness.renewInMillis > 0;

  const updateServing = (): void => {
    relay?.setServing(position !== undefined && !isSourceLost && !isStale);
  };

  const knowledgeAgeMillis = (): number | undefined => {
    const ageMillis = relay?.freshness.ageMillis ?? Infinity;
    return Number.isFinite(ageMillis) ? Math.round(ageMillis) : undefined;
  };

  return {
    get position() {
      return position;
    },
    get readRequirement() {
      return readRequirement;
    },
    get isReading() {
      return isReading;
    },
    get isSourceLost() {
      return isSourceLost;
    },
    get isLost() {
      return lostAtMillis !== undefined;
    },
    get isWatching() {
      return isWatching;
    },
    get callStartedMillis() {
      return callStartedMillis;
    },
    get isIdle() {
      return isIdle();
    },
    untilNotIdle: Effect.callback<undefined>(resume => {
      wake = () => {
        resume(Effect.succeed(undefined));
      };
      if (!isIdle()) wake();
    }),
    reportCall: (call, response, sinceMillis = callStartedMillis) => {
      listener.onCall({
        call,
        afterRevision: call === 'read' ? undefined : position?.revision,
        revision: response?.position.revision,
        documentsCount: response?.documents.length ?? 0,
        tookMillis: Math.round(nowMillis() - sinceMillis),
        ageMillis: knowledgeAgeMillis(),
      });
    },
    beginCall: isRead => {
      callStartedMillis = nowMillis();
      isReading = isRead;
      if (isRead && readRequirement === 'once') readRequirement = 'no';
    },
    requireRead: requirement => {
      readRequirement = requirement;
      wake();
    },
    setWatching: next => {
      isWatching = next;
      if (!isIdle()) wake();
    },
    setSourceLost: isLost => {
      isReading = false;
      isSourceLost = isLost;
      isStale = false;
      updateServing();
    },
    // Until the source responds, nodes that poll this one must switch to other
    // nodes: a hanging source is detected as lost only seconds later.
    markStale: () => {
      isStale = true;
      updateServing();
    },
    markReached: () => {
      if (!isBeforeFirstResponse && lostAtMillis === undefined) return;
      const lostMillis = nowMillis() - (lostAtMillis ?? nowMillis());
      isBeforeFirstResponse = false;
      lostAtMillis = undefined;
      listener.onReached(lostMillis);
    },
    markLost: reason => {
      if (lostAtMillis !== undefined || isBeforeFirstResponse) return;
      lostAtMillis = nowMillis();
      listener.onLost(reason);
    },
    applySnapshot: (snapshot, knownUntilMillis) => {
      const {documents, position: nextPosition} = snapshot;
      if (position !== undefined && position.epoch !== nextPosition.epoch) {
        listener.onRestored(position, nextPosition);
      }
      listener.onSnapshot(documents, nextPosition.revision);
      position = nextPosition;
      peerPositions?.recordRead(nextPosition);
      relay?.recordRead(snapshot, knownUntilMillis);
      readRequirement = 'no';
      updateServing();
    },
    applyChanges: (after, batch, knownUntilMillis) => {
      const previous = position ?? after;
      const documents = batch.documents.filter(
        ({revision}) => revision > previous.revision,
      );
      position = laterPosition(previous, batch.position);
      if (documents.length > 0) {
        listener.onChanges(documents, position.revision);
      }
      peerPositions?.recordWatched(position);
      relay?.recordChanges({documents, position}, knownUntilMillis);
    },
  };
}
