/**
 * What a follower of published documents knows and does, for its two tasks: the
 * calls to the source, and the questions to other nodes.
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

/** Whether the next call has to be a read. */
export type ReadRequirement =
  | 'no'
  /** The last position is still one to watch from if the read fails. */
  | 'once'
  /** It is none any more. */
  | 'until-read';

/** State of one follower. */
export interface FollowerState {
  /** Up to which all is known; `undefined` before the first read. */
  readonly position: SourcePosition | undefined;
  readonly readRequirement: ReadRequirement;
  /** A read is under way, and will bring what was known as it began. */
  readonly isReading: boolean;
  /** The last call failed. */
  readonly isSourceLost: boolean;
  /** Neither the source nor another node answers. */
  readonly isLost: boolean;
  /** Another node watches for this one, and nothing is due. */
  readonly isIdle: boolean;
  /** Ends when it may not be idle any more. */
  readonly untilNotIdle: Effect.Effect<undefined>;
  /** When the last call began. */
  readonly callStartedMillis: number;
  /** Reports how a call ended; it began at the last one, or at another time. */
  reportCall(
    call: SourceCall,
    answer?: DocumentBatch,
    sinceMillis?: number,
  ): void;
  beginCall(isRead: boolean): void;
  requireRead(due: ReadRequirement): void;
  setWatching(isWatching: boolean): void;
  /** The source answered, or did not. */
  setSourceLost(isLost: boolean): void;
  /** A watch brings nothing, though other nodes know more. */
  markStale(): void;
  /** The source or another node answered. */
  markReached(): void;
  /** Neither does from now on. */
  markLost(reason: string): void;
  applySnapshot(all: DocumentBatch): void;
  /** Takes changes that lead on from a position, which others may have overtaken. */
  applyChanges(after: SourcePosition, read: DocumentBatch): void;
}

/** What the state of a follower needs. */
export interface FollowerStateOptions {
  readonly listener: DocumentListener;
  /** Later revisions that other nodes report; left out, none does. */
  readonly peerPositions?: PeerPositions | undefined;
  /** Changes from other nodes; left out, this node watches the source itself. */
  readonly relay?: DocumentRelay | undefined;
  readonly nowMillis: () => number;
}

/** Creates the state of a follower that knows nothing. */
export function createFollowerState(
  options: FollowerStateOptions,
): FollowerState {
  const {listener, peerPositions, relay, nowMillis} = options;
  let position: SourcePosition | undefined;
  let readDue: ReadRequirement = 'until-read';
  let isReading = false;
  let isSourceLost = false;
  let isWatching = relay === undefined;
  let isStale = false;
  let isFirst = true;
  let lostAtMillis: number | undefined;
  let askedMillis = 0;
  let wake = (): void => undefined;

  const isIdle = (): boolean =>
    !isWatching && !isSourceLost && position !== undefined && readDue === 'no';

  const noteDuty = (): void => {
    const isWell = position !== undefined && !isSourceLost && !isStale;
    relay?.setWatching(isWatching && isWell);
  };

  return {
    get position() {
      return position;
    },
    get readRequirement() {
      return readDue;
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
    get callStartedMillis() {
      return askedMillis;
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
    reportCall: (call, answer, sinceMillis = askedMillis) => {
      listener.onCall({
        call,
        afterRevision: call === 'read' ? undefined : position?.revision,
        revision: answer?.position.revision,
        documentsCount: answer?.documents.length ?? 0,
        tookMillis: Math.round(nowMillis() - sinceMillis),
      });
    },
    beginCall: isRead => {
      askedMillis = nowMillis();
      isReading = isRead;
      if (isRead && readDue === 'once') readDue = 'no';
    },
    requireRead: due => {
      readDue = due;
      wake();
    },
    setWatching: next => {
      isWatching = next;
      noteDuty();
      if (!isIdle()) wake();
    },
    setSourceLost: isLost => {
      isReading = false;
      isSourceLost = isLost;
      isStale = false;
      noteDuty();
    },
    // Until the source answers, nodes that ask this one have to ask others: a
    // source that hangs is known to be lost only seconds later.
    markStale: () => {
      isStale = true;
      noteDuty();
    },
    markReached: () => {
      if (!isFirst && lostAtMillis === undefined) return;
      const lostMillis = nowMillis() - (lostAtMillis ?? nowMillis());
      isFirst = false;
      lostAtMillis = undefined;
      listener.onReached(lostMillis);
    },
    markLost: reason => {
      if (lostAtMillis !== undefined || isFirst) return;
      lostAtMillis = nowMillis();
      listener.onLost(reason);
    },
    applySnapshot: all => {
      const {documents, position: next} = all;
      if (position !== undefined && position.epoch !== next.epoch) {
        listener.onRestored(position, next);
      }
      listener.onSnapshot(documents, next.revision);
      position = next;
      peerPositions?.recordRead(next);
      relay?.recordRead(all);
      readDue = 'no';
      noteDuty();
    },
    applyChanges: (after, read) => {
      const before = position ?? after;
      const documents = read.documents.filter(
        ({revision}) => revision > before.revision,
      );
      position = laterPosition(before, read.position);
      if (documents.length > 0) {
        listener.onChanges(documents, position.revision);
      }
      peerPositions?.recordWatched(position);
      relay?.recordChanges({documents, position});
    },
  };
}
