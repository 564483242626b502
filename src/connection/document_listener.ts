/**
 * What a follower of published documents reports to its owner.
 */
import type {
  DocumentChange,
  SourcePosition,
} from '../process/membership/document_source.js';

/** What came of a call to the source. */
export type SourceCall =
  | 'read'
  /** A watch that brought changes. */
  | 'changed'
  /** A watch that ran out. */
  | 'unchanged'
  | 'history-lost'
  /** A watch whose source was restored from an older copy. */
  | 'restored'
  /** A watch that was given up, since other nodes know of later changes. */
  | 'stale'
  /** No call: another node sent changes. */
  | 'relayed'
  | 'failed';

/** How one call to the source ended. */
export interface SourceCallResult {
  readonly call: SourceCall;
  /** Revision that a watch asked from; `undefined` for a read. */
  readonly afterRevision: number | undefined;
  /** Revision of the answer, if there is one. */
  readonly revision: number | undefined;
  readonly documentsCount: number;
  readonly tookMillis: number;
}

/** Reports of a follower to its owner. */
export interface DocumentListener {
  /** A call has ended; each one has its price. */
  onCall(end: SourceCallResult): void;
  /** All documents of now; what is missing no longer exists. */
  onSnapshot(documents: readonly DocumentChange[], revision: number): void;
  onChanges(documents: readonly DocumentChange[], revision: number): void;
  /**
   * The source was restored from an older copy: what a read brings next may be
   * older than what is known, or lack it.
   */
  onRestored(before: SourcePosition, now: SourcePosition): void;
  /** The first failure after an answer. */
  onLost(reason: string): void;
  /** The first answer, and the first one after a failure. */
  onReached(wasLostMillis: number): void;
}
