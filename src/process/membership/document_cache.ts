/**
 * Cache of the published documents of this node, for the polls of other nodes.
 *
 * Load pattern: the source drops its history, and the one node of a zone that
 * watches it reads all documents. If only the changes of its watches were
 * relayed, all other nodes would have to read all documents as well, each in
 * several calls.
 */
import type {
  DocumentChange,
  DocumentBatch,
  SourcePosition,
} from './document_source.js';
import {NO_POSITION} from './document_source.js';

/** Documents of one node up to a position. */
export interface DocumentCache {
  readonly position: SourcePosition;
  /** Replaces the documents with a read of all of them. */
  recordRead(read: DocumentBatch): void;
  /** Applies changes that follow the current position. */
  recordChanges(batch: DocumentBatch): void;
  /**
   * Returns the changes after a position; `undefined` if some of them are
   * unknown.
   */
  changesSince(position: SourcePosition): readonly DocumentChange[] | undefined;
}

/** Maximum deletions kept; a node further behind has to read all documents. */
const MAX_DELETIONS_COUNT = 500;

/** Creates an empty cache. */
export function createDocumentCache(): DocumentCache {
  let documents = new Map<string, DocumentChange>();
  let deletions: DocumentChange[] = [];
  /** Revision after which all deletions are known. */
  let deletionsFromRevision = 0;
  let position = NO_POSITION;

  const recordDeletion = (key: string, revision: number): void => {
    deletions.push({key, revision, text: undefined});
    if (deletions.length <= MAX_DELETIONS_COUNT) return;
    deletionsFromRevision =
      deletions.shift()?.revision ?? deletionsFromRevision;
  };

  return {
    get position() {
      return position;
    },
    recordRead: read => {
      const previous = documents;
      documents = new Map(read.documents.map(item => [item.key, item]));
      if (read.position.epoch === position.epoch && deletionsFromRevision > 0) {
        for (const key of previous.keys()) {
          if (!documents.has(key)) recordDeletion(key, read.position.revision);
        }
      } else {
        deletions = [];
        deletionsFromRevision = read.position.revision;
      }
      position = read.position;
    },
    recordChanges: batch => {
      for (const change of batch.documents) {
        if (change.text === undefined) {
          documents.delete(change.key);
          recordDeletion(change.key, change.revision);
        } else {
          documents.set(change.key, change);
        }
      }
      position = batch.position;
    },
    changesSince: from => {
      if (from.epoch !== position.epoch) return undefined;
      if (from.revision < deletionsFromRevision) return undefined;
      return [...deletions, ...documents.values()]
        .filter(({revision}) => revision > from.revision)
        .sort((a, b) => a.revision - b.revision);
    },
  };
}
