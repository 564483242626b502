/**
 * Tracks the positions up to which other nodes report that they have applied
 * the published documents.
 *
 * Load pattern: the source drops its history while a version is published. A
 * watch that begins at that moment may get no response until its timeout, and
 * this node would use an older version than the rest of the fleet for that
 * long. Nodes that were notified report their position with every message, so
 * this is detected without further calls to the source.
 */
import type {Disposable} from '../../base/lifecycle.js';
import {toDisposable} from '../../base/lifecycle.js';
import type {SourcePosition} from './document_source.js';
import {
  isLaterPosition,
  laterPosition,
  NO_POSITION,
} from './document_source.js';

/** Applied and reported positions of one node. */
export interface PeerPositions {
  /**
   * Position up to which this node has applied documents; `NO_POSITION` before
   * the first read.
   */
  readonly applied: SourcePosition;
  /** Whether another node has applied later documents than this one. */
  readonly isStale: boolean;
  /** Records the position that another node reports, if it reports one. */
  recordPeerPosition(position: SourcePosition | undefined): void;
  /** Records that a watch has returned everything up to this position. */
  recordWatched(position: SourcePosition): void;
  /**
   * Records a read up to this position, and drops later reported ones: the node
   * that reported one is ahead of the source, or wrong.
   */
  recordRead(position: SourcePosition): void;
  /**
   * Calls the listener once this node is behind another one; immediately if it
   * already is.
   */
  onStale(listener: () => void): Disposable;
}

/** Creates the positions of a node that has not read any documents. */
export function createPeerPositions(): PeerPositions {
  const listeners = new Set<() => void>();
  let applied = NO_POSITION;
  let remote = NO_POSITION;

  const isStale = (): boolean => isLaterPosition(remote, applied);

  return {
    get applied() {
      return applied;
    },
    get isStale() {
      return isStale();
    },
    recordPeerPosition: position => {
      if (position === undefined || !isLaterPosition(position, remote)) return;
      remote = position;
      if (!isStale()) return;
      const pendingListeners = [...listeners];
      listeners.clear();
      for (const listener of pendingListeners) listener();
    },
    recordWatched: position => {
      applied = laterPosition(position, applied);
    },
    recordRead: position => {
      applied = position;
      // A position that the source does not confirm would cause one read after
      // another.
      if (isLaterPosition(remote, position)) remote = position;
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
