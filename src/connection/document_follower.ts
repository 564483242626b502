/**
 * Follows the documents below one prefix of a source: one initial read, then
 * consecutive watches with pauses that batch changes, and a new read after the
 * history was lost. While another node relays changes to this one, the source
 * is called only for changes that the other node cannot provide, and once the
 * relayed knowledge is too old.
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
import {followRelay} from './relay_follower.js';
import {waitForStalePosition} from './wait_for_stale_position.js';

export interface DocumentFollowerOptions extends FollowerStateOptions {
  readonly source: DocumentSource;
  readonly prefix: string;
  readonly pacing: FollowerPacing;
}

/**
 * Maximum time for which a watch may lag behind other nodes: nodes receive a
 * change within milliseconds of each other, or within a few tenths of a second
 * from a slow store. Including the time until the lag is noticed, a change
 * still takes effect within the configured bound.
 */
const MAX_STALE_MILLIS = 400;

/**
 * Retry interval of a node that has lost the source while other nodes relay
 * changes to it.
 */
const RELAYED_RETRY_MILLIS = 3000;

type WatchResult = DocumentBatch | 'history-lost' | 'stale';

/** A watch and how long it waits for changes. */
interface Watch {
  readonly after: SourcePosition;
  readonly timeoutMillis: number;
}

/** Follows the documents until interrupted. */
export function followDocuments(
  options: DocumentFollowerOptions,
): Effect.Effect<never> {
  const {source, prefix, pacing, peerPositions, relay, nowMillis} = options;
  const state = createFollowerState(options);
  const freshness = relay?.freshness;

  const handleSourceResponse = (): void => {
    pacing.recordSuccess();
    state.markReached();
    state.setSourceLost(false);
  };

  const batchDelayMillis = (): number =>
    pacing.batchDelayMillis(freshness?.renewInMillis);

  /**
   * Returns the pause before the next call. Changes are batched also after a
   * new read, because every loss of the history costs a read, and after a
   * first read without documents, because a fleet that has just started
   * publishes many.
   */
  const applyRead = (snapshot: DocumentBatch): number => {
    const wasRead = state.position !== undefined;
    handleSourceResponse();
    state.reportCall('read', snapshot);
    state.applySnapshot(snapshot, state.callStartedMillis);
    const isInitialContent = !wasRead && snapshot.documents.length > 0;
    return isInitialContent ? 0 : batchDelayMillis();
  };

  /** Returns the pause before the next call. */
  const applyWatchResult = (
    {after, timeoutMillis}: Watch,
    result: WatchResult,
  ): number => {
    if (result === 'stale') {
      state.reportCall(result);
      state.markStale();
      state.requireRead('once');
      return 0;
    }
    handleSourceResponse();
    if (result === 'history-lost') {
      state.reportCall(result);
      state.requireRead('until-read');
      return 0;
    }
    // After a restore, the source assigns the same revisions to other changes.
    // A watch from the old position would miss changes below its revision.
    if (result.position.epoch !== after.epoch) {
      state.reportCall('restored', result);
      state.requireRead('until-read');
      return pacing.readJitterMillis();
    }
    const isUnchanged = result.documents.length === 0;
    const tookMillis = nowMillis() - state.callStartedMillis;
    state.reportCall(isUnchanged ? 'unchanged' : 'changed', result);
    state.applyChanges(after, result, knownUntil(timeoutMillis, isUnchanged));
    return isUnchanged
      ? pacing.unchangedDelayMillis(tookMillis, timeoutMillis)
      : batchDelayMillis();
  };

  /**
   * Time up to which a watch has returned all changes. The source responds
   * after the start of the call, and after the whole wait if nothing changes;
   * a response may have been delayed on its way.
   */
  const knownUntil = (timeoutMillis: number, isUnchanged: boolean): number => {
    const startedMillis = state.callStartedMillis;
    const tookMillis = nowMillis() - startedMillis;
    const hasWaited = isUnchanged && tookMillis >= timeoutMillis;
    return hasWaited ? startedMillis + timeoutMillis : startedMillis;
  };

  const startWatch = ({
    after,
    timeoutMillis,
  }: Watch): Effect.Effect<WatchResult, unknown> => {
    const watchCall = Effect.tryPromise({
      try: signal =>
        source.watch(prefix, after.revision, timeoutMillis, signal),
      catch: error => error,
    });
    // A node that has lost the source lags behind and retries soon anyway.
    if (peerPositions === undefined || state.isLost) return watchCall;
    return Effect.raceFirst(watchCall, untilStale(peerPositions));
  };

  /** Completes when the knowledge that other nodes relay is too old. */
  const untilTooOld: Effect.Effect<void> = Effect.suspend(() => {
    const renewInMillis = freshness?.renewInMillis ?? 0;
    if (renewInMillis === 0) return Effect.void;
    return Effect.andThen(Effect.sleep(renewInMillis), untilTooOld);
  });

  const untilCallRequired = Effect.raceFirst(state.untilNotIdle, untilTooOld);

  /** Makes the next call; returns the pause after it. */
  const step = Effect.suspend((): Effect.Effect<number, unknown> => {
    if (state.isIdle) return Effect.as(untilCallRequired, 0);
    const after = state.position;
    if (after !== undefined && state.readRequirement === 'no') {
      state.beginCall(false);
      const timeoutMillis = pacing.watchTimeoutMillis(freshness?.renewInMillis);
      const watch = {after, timeoutMillis};
      return Effect.flatMap(startWatch(watch), result =>
        trySync(() => applyWatchResult(watch, result)),
      );
    }
    state.beginCall(true);
    const read = Effect.tryPromise({
      try: () => source.read(prefix),
      catch: error => error,
    });
    return Effect.flatMap(read, snapshot => trySync(() => applyRead(snapshot)));
  });

  /** Returns the pause before the next call. */
  const handleFailure = (error: unknown): Effect.Effect<unknown> => {
    state.reportCall('failed');
    state.setSourceLost(true);
    const tookMillis = nowMillis() - state.callStartedMillis;
    const pause = Effect.sleep(pacing.retryDelayMillis(tookMillis));
    const isRelayed = !state.isWatching && (freshness?.renewInMillis ?? 0) > 0;
    if (!isRelayed) {
      state.markLost(describeError(error));
      return pause;
    }
    // A node that receives changes from other nodes misses nothing.
    const untilRetry = Effect.sleep(RELAYED_RETRY_MILLIS);
    return Effect.andThen(pause, Effect.raceFirst(untilRetry, untilTooOld));
  };

  const follow = step.pipe(
    Effect.map(pauseMillis =>
      pauseMillis > 0 ? Effect.sleep(pauseMillis) : Effect.void,
    ),
    Effect.catch(error => Effect.sync(() => handleFailure(error))),
    Effect.flatMap(pause => pause),
    Effect.forever,
  );
  if (relay === undefined) return follow;
  return Effect.raceFirst(follow, followRelay({relay, state, nowMillis}));
}

/** Completes once this node has lagged behind another node for too long. */
function untilStale(peerPositions: PeerPositions): Effect.Effect<'stale'> {
  return waitForStalePosition(peerPositions).pipe(
    Effect.andThen(Effect.sleep(MAX_STALE_MILLIS)),
    // Another node may have relayed the changes meanwhile.
    Effect.flatMap(() =>
      peerPositions.isStale
        ? Effect.succeed('stale' as const)
        : untilStale(peerPositions),
    ),
  );
}

/** Treats an exception of a listener like a failed call. */
function trySync<T>(callback: () => T): Effect.Effect<T, unknown> {
  return Effect.try({try: callback, catch: error => error});
}
