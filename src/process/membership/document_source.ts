/**
 * Source of published documents, which can be read and watched.
 */

/** A document as it was written, or the fact that it was deleted. */
export interface DocumentChange {
  readonly key: string;
  /** Revision of the source at which this was written. */
  readonly revision: number;
  /** `undefined` if the document was deleted. */
  readonly text: string | undefined;
}

/** What one call returned. */
export interface DocumentRead {
  readonly documents: readonly DocumentChange[];
  /** Revision to watch from. */
  readonly revision: number;
}

/** Reads documents below a key prefix. */
export interface DocumentSource {
  /** All documents of now. */
  read(prefix: string): Promise<DocumentRead>;
  /**
   * Changes after a revision, as soon as there is one; rejects when the signal
   * aborts it.
   */
  watch(
    prefix: string,
    afterRevision: number,
    waitMillis: number,
    signal?: AbortSignal,
  ): Promise<DocumentRead | 'history-lost'>;
  dispose(): void;
}
