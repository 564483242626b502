/**
 * What other nodes tell of the revision of the published documents.
 *
 * Load pattern: the source drops its history while a version is published. A
 * watch that begins at that moment may hear nothing until its wait is over, and
 * this node would serve by an older version than the rest of the fleet for that
 * long. Others that were told say so with every message, so that it can be
 * noticed without more calls to the source.
 */
import type {Disposable} from '../../base/lifecycle.js';
import {toDisposable} from '../../base/lifecycle.js';

/** Revisions of one node. */
export interface PeerRevisions {
  /** Revision up to which documents are in force here; 0 before the first read. */
  readonly knownRevision: number;
  /** Another node has documents up to this revision in force. */
  noteTold(revision: number): void;
  /** A watch has brought everything up to this revision. */
  noteWatched(revision: number): void;
  /** A read has: whoever told of a later one is ahead of the source, or wrong. */
  noteRead(revision: number): void;
  /** Calls the listener once this node is behind another one; at once if it is. */
  onStale(listener: () => void): Disposable;
}

/** Creates the revisions of a node that has read nothing. */
export function createPeerRevisions(): PeerRevisions {
  const listeners = new Set<() => void>();
  let knownRevision = 0;
  let toldRevision = 0;

  const isStale = (): boolean => toldRevision > knownRevision;

  return {
    get knownRevision() {
      return knownRevision;
    },
    noteTold: revision => {
      if (revision <= toldRevision) return;
      toldRevision = revision;
      if (!isStale()) return;
      const told = [...listeners];
      listeners.clear();
      for (const listener of told) listener();
    },
    noteWatched: revision => {
      knownRevision = Math.max(knownRevision, revision);
    },
    noteRead: revision => {
      knownRevision = revision;
      // A figure that the source does not bear out would cause one read after
      // the other.
      toldRevision = Math.min(toldRevision, revision);
    },
    onStale: listener => {
      if (isStale()) listener();
      else listeners.add(listener);
      return toDisposable(() => {
        listeners.delete(listener);
      });
    },
  };
}
