/**
 * Follows the documents below one prefix of a source: a read of all, then one
 * watch after the other with pauses in which changes gather, again from the
 * start when the history was lost. While another node watches for this one, it
 * calls the source only for what that node does not have.
 */
import * as Effect from 'effect/Effect';
import {describeError} from '../base/errors.js';
import type {
  DocumentBatch,
  DocumentSource,
  SourcePosition,
} from '../process/membership/document_source.js';
import type {FollowerPacing} from '../process/membership/follower_pacing.js';
import type {PeerPositions} from '../process/membership/peer_positions.js';
import type {FollowerStateOptions} from './follower_state.js';
import {createFollowerState} from './follower_state.js';
import {followRelay, RELAY_POLL_INTERVAL_MILLIS} from './relay_follower.js';
import {waitForStalePosition} from './wait_for_stale_position.js';

/** What a follower needs. */
export interface DocumentFollowerOptions extends FollowerStateOptions {
  readonly source: DocumentSource;
  readonly prefix: string;
  readonly pace: FollowerPacing;
}

/**
 * Time for which a watch may be behind other nodes: they get a change within
 * milliseconds of each other, and within a few tenths of a second from a slow
 * store. With the time that others need to notice, it stays within the bound.
 */
const STALE_MILLIS = 400;

/**
 * Interval at which a node that has lost the source asks it again while others tell
 * it of changes.
 */
const RELAYED_RETRY_MILLIS = 3000;

/** How a watch ended. */
type WatchEnd = DocumentBatch | 'history-lost' | 'stale';

/** Follows the documents until interrupted. */
export function followDocuments(
  options: DocumentFollowerOptions,
): Effect.Effect<never> {
  const {source, prefix, pace, peerPositions, relay, nowMillis} = options;
  const state = createFollowerState(options);
  /** When another node sent changes last. */
  let toldMillis = -Infinity;

  const answered = (): void => {
    pace.recordSuccess();
    state.markReached();
    state.setSourceLost(false);
  };

  /**
   * Returns the pause before the next call. A history that is lost again and
   * again costs a read each time; what is changed after one may gather as well,
   * and so may what a fleet publishes that has just started.
   */
  const takeAll = (all: DocumentBatch): number => {
    const wasRead = state.position !== undefined;
    answered();
    state.reportCall('read', all);
    state.applySnapshot(all);
    const isNews = !wasRead && all.documents.length > 0;
    return isNews ? 0 : pace.batchDelayMillis();
  };

  /** Returns the pause before the next call. */
  const takeWatch = (after: SourcePosition, end: WatchEnd): number => {
    if (end === 'stale') {
      state.reportCall(end);
      state.markStale();
      state.requireRead('once');
      return 0;
    }
    answered();
    if (end === 'history-lost') {
      state.reportCall(end);
      state.requireRead('until-read');
      return 0;
    }
    // The same revision means another change now. A watch that went on from it
    // would never tell what was written below it since the source was restored.
    if (end.position.epoch !== after.epoch) {
      state.reportCall('restored', end);
      state.requireRead('until-read');
      return pace.readJitterMillis();
    }
    const isUnchanged = end.documents.length === 0;
    state.reportCall(isUnchanged ? 'unchanged' : 'changed', end);
    state.applyChanges(after, end);
    return isUnchanged ? 0 : pace.batchDelayMillis();
  };

  const watch = (after: SourcePosition): Effect.Effect<WatchEnd, unknown> => {
    const watched = Effect.tryPromise({
      try: signal =>
        source.watch(prefix, after.revision, pace.watchTimeoutMillis(), signal),
      catch: error => error,
    });
    // A node that has lost the source is behind, and asks again soon anyway.
    if (peerPositions === undefined || state.isLost) return watched;
    return Effect.raceFirst(watched, untilStale(peerPositions));
  };

  /** Makes the next call; returns the pause after it. */
  const step = Effect.suspend((): Effect.Effect<number, unknown> => {
    if (state.isIdle) return Effect.as(state.untilNotIdle, 0);
    const after = state.position;
    if (after !== undefined && state.readRequirement === 'no') {
      state.beginCall(false);
      return Effect.flatMap(watch(after), end =>
        attempt(() => takeWatch(after, end)),
      );
    }
    state.beginCall(true);
    const read = Effect.tryPromise({
      try: () => source.read(prefix),
      catch: error => error,
    });
    return Effect.flatMap(read, all => attempt(() => takeAll(all)));
  });

  const failed = (error: unknown): number => {
    state.reportCall('failed');
    state.setSourceLost(true);
    const now = nowMillis();
    const pauseMillis = pace.retryDelayMillis(now - state.callStartedMillis);
    // A node that gets changes from others misses nothing.
    if (now - toldMillis < 2 * RELAY_POLL_INTERVAL_MILLIS) {
      return Math.max(pauseMillis, RELAYED_RETRY_MILLIS);
    }
    state.markLost(describeError(error));
    return pauseMillis;
  };

  const follow = step.pipe(
    Effect.catch(error => Effect.sync(() => failed(error))),
    Effect.flatMap(pauseMillis =>
      pauseMillis > 0 ? Effect.sleep(pauseMillis) : Effect.void,
    ),
    Effect.forever,
  );
  if (relay === undefined) return follow;
  const onResponse = (): void => {
    toldMillis = nowMillis();
  };
  return Effect.raceFirst(
    follow,
    followRelay({relay, state, peerPositions, onResponse, nowMillis}),
  );
}

/** Ends once this node has been behind another one for too long. */
function untilStale(peerPositions: PeerPositions): Effect.Effect<'stale'> {
  return waitForStalePosition(peerPositions).pipe(
    Effect.andThen(Effect.sleep(STALE_MILLIS)),
    // Another node may have sent it meanwhile.
    Effect.flatMap(() =>
      peerPositions.isStale
        ? Effect.succeed('stale' as const)
        : untilStale(peerPositions),
    ),
  );
}

/** A listener that throws ends a call like one that failed. */
function attempt<T>(run: () => T): Effect.Effect<T, unknown> {
  return Effect.try({try: run, catch: error => error});
}
