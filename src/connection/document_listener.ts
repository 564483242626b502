/**
 * Events that a document follower reports to its owner.
 */
import type {
  DocumentChange,
  SourcePosition,
} from '../process/membership/document_source.js';

/** Outcome of a call to the source. */
export type SourceCall =
  | 'read'
  /** A watch returned changes. */
  | 'changed'
  /** A watch timed out without changes. */
  | 'unchanged'
  | 'history-lost'
  /**
   * A watch returned a new epoch: the source was restored from an older copy.
   */
  | 'restored'
  /** A watch was cancelled because other nodes reported later changes. */
  | 'stale'
  /** No call to the source: another node relayed changes. */
  | 'relayed'
  | 'failed';

/** Details of a finished call to the source. */
export interface SourceCallResult {
  readonly call: SourceCall;
  /** Revision from which a watch started; `undefined` for a read. */
  readonly afterRevision: number | undefined;
  /** Revision of the response, if there is one. */
  readonly revision: number | undefined;
  readonly documentsCount: number;
  readonly tookMillis: number;
  /**
   * Age of this node's knowledge before the call, which is the maximum age of
   * the changes; `undefined` if no node relays changes, or before the first
   * read.
   */
  readonly ageMillis: number | undefined;
}

/** Listener for events of a document follower. */
export interface DocumentListener {
  /** A call has finished; called for each call because calls are billed. */
  onCall(result: SourceCallResult): void;
  /** All current documents; documents that are not listed no longer exist. */
  onSnapshot(documents: readonly DocumentChange[], revision: number): void;
  onChanges(documents: readonly DocumentChange[], revision: number): void;
  /**
   * The source was restored from an older copy: the next read may return
   * documents that are older than the known ones, or miss some of them.
   */
  onRestored(before: SourcePosition, now: SourcePosition): void;
  /** The first failure after a response. */
  onLost(reason: string): void;
  /**
   * The first response, and the first response after a failure; `lostMillis` is
   * the time since the failure, or 0.
   */
  onReached(lostMillis: number): void;
}
