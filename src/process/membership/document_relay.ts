/**
 * Changes of the published documents that come from another node.
 */
import type {DocumentBatch, SourcePosition} from './document_source.js';

/** How a poll of another node ended. */
export type RelayPollResult =
  /** It is this node that watches the source. */
  | 'watch'
  /** The node that was asked did not answer, or does not watch itself. */
  | 'failed'
  /** It knows more, but not all that this one lacks: a read is required. */
  | 'read'
  /** The changes that it sent. */
  | DocumentBatch;

/** Gets changes from other nodes. */
export interface DocumentRelay {
  /**
   * Asks the node whose turn it is for what came after a position; `isSourceLost`:
   * this node cannot watch itself.
   */
  poll(
    position: SourcePosition,
    isSourceLost: boolean,
  ): Promise<RelayPollResult>;
  /** Whether this node's own watches of the source go well from now on. */
  setWatching(isWatching: boolean): void;
  /** All documents were read. */
  recordRead(read: DocumentBatch): void;
  recordChanges(read: DocumentBatch): void;
}
