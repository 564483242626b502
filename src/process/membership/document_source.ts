/**
 * Source of published documents, which can be read and watched.
 */

/**
 * A moment in the life of a source. Revisions count the changes of one epoch; a
 * source that is restored from an older copy begins the next epoch, and gives
 * revisions out again that it had given out after the copy was made.
 */
export interface SourcePosition {
  /** 0 for a source without epochs. */
  readonly epoch: number;
  readonly revision: number;
}

/** Before everything that a source holds. */
export const NO_POSITION: SourcePosition = {epoch: 0, revision: 0};

/** Whether one moment of a source is after another one. */
export function isLaterPosition(
  position: SourcePosition,
  other: SourcePosition,
): boolean {
  if (position.epoch !== other.epoch) return position.epoch > other.epoch;
  return position.revision > other.revision;
}

/** The later one of two. */
export function laterPosition(
  position: SourcePosition,
  other: SourcePosition,
): SourcePosition {
  return isLaterPosition(position, other) ? position : other;
}

/** A document as it was written, or the fact that it was deleted. */
export interface DocumentChange {
  readonly key: string;
  /** Revision of the source at which this was written. */
  readonly revision: number;
  /** `undefined` if the document was deleted. */
  readonly text: string | undefined;
}

/** What one call returned. */
export interface DocumentBatch {
  readonly documents: readonly DocumentChange[];
  /** To watch from. */
  readonly position: SourcePosition;
}

/** Reads documents below a key prefix. */
export interface DocumentSource {
  /** All documents of now. */
  read(prefix: string): Promise<DocumentBatch>;
  /**
   * Changes after a revision, as soon as there is one; rejects when the signal
   * aborts it. The epoch of the answer may be another one than the revision's:
   * its changes then leave out what was written in between.
   */
  watch(
    prefix: string,
    afterRevision: number,
    waitMillis: number,
    signal?: AbortSignal,
  ): Promise<DocumentBatch | 'history-lost'>;
  dispose(): void;
}
