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
export interface RevisionNews {
  /** Revision up to which documents are in force here; 0 before the first read. */
  readonly knownRevision: number;
  /** Another node has documents up to this revision in force. */
  hear(revision: number): void;
  /** A watch has brought everything up to this revision. */
  reach(revision: number): void;
  /** A read has: whoever told of a later one is ahead of the source, or wrong. */
  reread(revision: number): void;
  /** Calls the listener once this node is behind another one; at once if it is. */
  onBehind(listener: () => void): Disposable;
}

/** Creates the news of a node that has read nothing. */
export function createRevisionNews(): RevisionNews {
  const listeners = new Set<() => void>();
  let knownRevision = 0;
  let heardRevision = 0;

  const isBehind = (): boolean => heardRevision > knownRevision;

  return {
    get knownRevision() {
      return knownRevision;
    },
    hear: revision => {
      if (revision <= heardRevision) return;
      heardRevision = revision;
      if (!isBehind()) return;
      const told = [...listeners];
      listeners.clear();
      for (const listener of told) listener();
    },
    reach: revision => {
      knownRevision = Math.max(knownRevision, revision);
    },
    reread: revision => {
      knownRevision = revision;
      // A figure that the source does not bear out would cause one read after
      // the other.
      heardRevision = Math.min(heardRevision, revision);
    },
    onBehind: listener => {
      if (isBehind()) listener();
      else listeners.add(listener);
      return toDisposable(() => {
        listeners.delete(listener);
      });
    },
  };
}
