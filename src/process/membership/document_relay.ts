/**
 * Relay of changes of the published documents between nodes.
 */
import type {DocumentBatch, SourcePosition} from './document_source.js';

/** Result of polling another node. */
export type RelayPollResult =
  /** This node is the one that watches the source. */
  | 'watch'
  /** The polled node did not respond, or does not watch the source. */
  | 'failed'
  /**
   * The polled node is ahead but lacks some of the changes: a read is required.
   */
  | 'read'
  /** The changes that the polled node sent. */
  | DocumentBatch;

/** Polls other nodes for changes, and keeps changes for their polls. */
export interface DocumentRelay {
  /**
   * Polls the selected node for the changes after a position. `isSourceLost`:
   * this node cannot watch the source itself.
   */
  poll(
    position: SourcePosition,
    isSourceLost: boolean,
  ): Promise<RelayPollResult>;
  /** Sets whether this node's own watches of the source succeed. */
  setWatching(isWatching: boolean): void;
  /** Records a read of all documents. */
  recordRead(read: DocumentBatch): void;
  recordChanges(batch: DocumentBatch): void;
}
