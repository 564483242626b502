/**
 * The published documents as this node knows them, for nodes that ask it.
 *
 * Load pattern: the source drops its history, and the one node of a zone that
 * watches reads all documents. Told nothing but the changes of its watches, all
 * others would read them as well, each in several calls.
 */
import type {
  DocumentChange,
  DocumentBatch,
  SourcePosition,
} from './document_source.js';
import {NO_POSITION} from './document_source.js';

/** Documents of one node, up to a position. */
export interface DocumentCache {
  readonly position: SourcePosition;
  /** All documents were read. */
  recordRead(read: DocumentBatch): void;
  /** Changes lead on from the position. */
  recordChanges(read: DocumentBatch): void;
  /** Changes after a position; `undefined` if some of them are not known. */
  changesSince(position: SourcePosition): readonly DocumentChange[] | undefined;
}

/** Deletions that are remembered; who is further behind reads all documents. */
const MAX_DELETIONS_COUNT = 500;

/** Creates the documents of a node that has read nothing. */
export function createDocumentCache(): DocumentCache {
  let documents = new Map<string, DocumentChange>();
  let deletions: DocumentChange[] = [];
  /** From where on all deletions are known. */
  let floorRevision = 0;
  let position = NO_POSITION;

  const noteDeletion = (key: string, revision: number): void => {
    deletions.push({key, revision, text: undefined});
    if (deletions.length <= MAX_DELETIONS_COUNT) return;
    floorRevision = deletions.shift()?.revision ?? floorRevision;
  };

  return {
    get position() {
      return position;
    },
    recordRead: read => {
      const before = documents;
      documents = new Map(read.documents.map(item => [item.key, item]));
      if (read.position.epoch === position.epoch && floorRevision > 0) {
        for (const key of before.keys()) {
          if (!documents.has(key)) noteDeletion(key, read.position.revision);
        }
      } else {
        deletions = [];
        floorRevision = read.position.revision;
      }
      position = read.position;
    },
    recordChanges: read => {
      for (const change of read.documents) {
        if (change.text === undefined) {
          documents.delete(change.key);
          noteDeletion(change.key, change.revision);
        } else {
          documents.set(change.key, change);
        }
      }
      position = read.position;
    },
    changesSince: asked => {
      if (asked.epoch !== position.epoch) return undefined;
      if (asked.revision < floorRevision) return undefined;
      return [...deletions, ...documents.values()]
        .filter(({revision}) => revision > asked.revision)
        .sort((a, b) => a.revision - b.revision);
    },
  };
}
