/**
 * Source of published documents that can be read and watched.
 */

/**
 * A position in the history of a source. Revisions count the changes of one
 * epoch. A source that is restored from an older copy begins the next epoch,
 * and reuses the revisions that it had assigned after the copy was made.
 */
export interface SourcePosition {
  /** 0 for a source without epochs. */
  readonly epoch: number;
  readonly revision: number;
}

/** Position before the first change of a source. */
export const NO_POSITION: SourcePosition = {epoch: 0, revision: 0};

/** Returns whether a position is later than another one. */
export function isLaterPosition(
  position: SourcePosition,
  other: SourcePosition,
): boolean {
  if (position.epoch !== other.epoch) return position.epoch > other.epoch;
  return position.revision > other.revision;
}

/** Returns the later of two positions. */
export function laterPosition(
  position: SourcePosition,
  other: SourcePosition,
): SourcePosition {
  return isLaterPosition(position, other) ? position : other;
}

/** A written or deleted document. */
export interface DocumentChange {
  readonly key: string;
  /** Source revision of the write or deletion. */
  readonly revision: number;
  /** `undefined` if the document was deleted. */
  readonly text: string | undefined;
}

/** Documents that one read or watch returned. */
export interface DocumentBatch {
  readonly documents: readonly DocumentChange[];
  /** Position to start the next watch from. */
  readonly position: SourcePosition;
}

/** Reads documents below a key prefix. */
export interface DocumentSource {
  /** Returns all current documents. */
  read(prefix: string): Promise<DocumentBatch>;
  /**
   * Returns the changes after a revision as soon as there are any, no changes
   * if there are none within `waitMillis` (whole milliseconds), or `history-lost` if the source no
   * longer has all of them. Rejects when the signal aborts it. The epoch of the
   * result may differ from the revision's: the changes then omit what was
   * written in between.
   */
  watch(
    prefix: string,
    afterRevision: number,
    waitMillis: number,
    signal?: AbortSignal,
  ): Promise<DocumentBatch | 'history-lost'>;
  dispose(): void;
}
