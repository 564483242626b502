/**
 * Relay of changes of the published documents between nodes.
 */
import type {DocumentFreshness} from './document_freshness.js';
import type {DocumentBatch, SourcePosition} from './document_source.js';

/** Changes that another node sent. */
export interface RelayedBatch extends DocumentBatch {
  /** Time up to which they are complete; `undefined` if it was not reported. */
  readonly knownUntilMillis: number | undefined;
}

/** Result of polling another node. */
export type RelayPollResult =
  /** This node is the one that watches the source. */
  | 'watch'
  /** The polled node did not respond, or has lost the source. */
  | 'failed'
  /**
   * The polled node is ahead but lacks some of the changes: a read is required.
   */
  | 'read'
  | RelayedBatch;

/** Polls other nodes for changes, and keeps changes for their polls. */
export interface DocumentRelay {
  readonly freshness: DocumentFreshness;
  /**
   * Polls the selected node, which responds when it has changes after a
   * position, or newer knowledge. `isSourceLost`: this node cannot watch the
   * source itself.
   */
  poll(
    position: SourcePosition,
    isSourceLost: boolean,
  ): Promise<RelayPollResult>;
  /** Sets whether other nodes may rely on this one. */
  setServing(isServing: boolean): void;
  /** Records a read of all documents, complete up to a time. */
  recordRead(read: DocumentBatch, knownUntilMillis: number): void;
  /** Records changes, complete up to a time. */
  recordChanges(batch: DocumentBatch, knownUntilMillis: number): void;
}
