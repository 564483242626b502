/**
 * What other nodes report of the position up to which they have the published
 * documents in force.
 *
 * Load pattern: the source drops its history while a version is published. A
 * watch that begins at that moment may hear nothing until its wait is over, and
 * this node would serve by an older version than the rest of the fleet for that
 * long. Others that were told say so with every message, so that it can be
 * noticed without more calls to the source.
 */
import type {Disposable} from '../../base/lifecycle.js';
import {toDisposable} from '../../base/lifecycle.js';
import type {SourcePosition} from './document_source.js';
import {
  isLaterPosition,
  laterPosition,
  NO_POSITION,
} from './document_source.js';

/** Positions of one node. */
export interface PeerPositions {
  /** Position up to which documents are in force here; none before the first read. */
  readonly applied: SourcePosition;
  /** Another node has later documents in force than this one. */
  readonly isStale: boolean;
  /** Another node has documents up to this position in force, or reports none. */
  recordPeerPosition(position: SourcePosition | undefined): void;
  /** A watch has brought everything up to this position. */
  recordWatched(position: SourcePosition): void;
  /** A read has: whoever told of a later one is ahead of the source, or wrong. */
  recordRead(position: SourcePosition): void;
  /** Calls the listener once this node is behind another one; at once if it is. */
  onStale(listener: () => void): Disposable;
}

/** Creates the positions of a node that has read nothing. */
export function createPeerPositions(): PeerPositions {
  const listeners = new Set<() => void>();
  let known = NO_POSITION;
  let told = NO_POSITION;

  const isStale = (): boolean => isLaterPosition(told, known);

  return {
    get applied() {
      return known;
    },
    get isStale() {
      return isStale();
    },
    recordPeerPosition: position => {
      if (position === undefined || !isLaterPosition(position, told)) return;
      told = position;
      if (!isStale()) return;
      const waiting = [...listeners];
      listeners.clear();
      for (const listener of waiting) listener();
    },
    recordWatched: position => {
      known = laterPosition(position, known);
    },
    recordRead: position => {
      known = position;
      // A position that the source does not bear out would cause one read after
      // the other.
      if (isLaterPosition(told, position)) told = position;
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
