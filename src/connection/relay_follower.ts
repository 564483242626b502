/**
 * Polls another node for changes. The other node responds when it has changes,
 * or newer knowledge of the source.
 */
import * as Effect from 'effect/Effect';
import type {
  DocumentRelay,
  RelayedBatch,
  RelayPollResult,
} from '../process/membership/document_relay.js';
import type {SourcePosition} from '../process/membership/document_source.js';
import type {FollowerState} from './follower_state.js';

export interface RelayFollowerOptions {
  readonly relay: DocumentRelay;
  readonly state: FollowerState;
  readonly nowMillis: () => number;
}

/**
 * Interval of the checks that need no response: whether this node still has to
 * watch the source, and whether another node responds again.
 */
const CHECK_INTERVAL_MILLIS = 700;

/** Minimum pause between two polls. */
const POLL_PAUSE_MILLIS = 50;

/** Polls other nodes until interrupted. */
export function followRelay({
  relay,
  state,
  nowMillis,
}: RelayFollowerOptions): Effect.Effect<never> {
  const {freshness} = relay;

  /** Returns the pause before the next poll. */
  const applyBatch = (
    after: SourcePosition,
    batch: RelayedBatch,
    sinceMillis: number,
  ): number => {
    const {knownUntilMillis = -Infinity} = batch;
    const hasNews = knownUntilMillis > freshness.knownUntilMillis;
    if (hasNews) state.markReached();
    if (batch.documents.length > 0) {
      state.reportCall('relayed', batch, sinceMillis);
    }
    state.applyChanges(after, batch, knownUntilMillis);
    state.setWatching(false);
    return hasNews ? POLL_PAUSE_MILLIS : CHECK_INTERVAL_MILLIS;
  };

  /** Returns the pause before the next poll. */
  const applyPollResult = (
    after: SourcePosition,
    result: RelayPollResult,
    sinceMillis: number,
  ): number => {
    if (result === 'watch') {
      state.setWatching(true);
      return CHECK_INTERVAL_MILLIS;
    }
    if (result === 'failed') {
      return state.isSourceLost ? CHECK_INTERVAL_MILLIS : 0;
    }
    // The polled position is invalid, or is about to become invalid.
    if (state.isReading || state.readRequirement !== 'no') {
      return CHECK_INTERVAL_MILLIS;
    }
    if (state.position?.epoch !== after.epoch) return CHECK_INTERVAL_MILLIS;
    if (result !== 'read') return applyBatch(after, result, sinceMillis);
    state.setWatching(false);
    state.requireRead('until-read');
    return CHECK_INTERVAL_MILLIS;
  };

  const step = Effect.suspend((): Effect.Effect<number, unknown> => {
    const after = state.position;
    if (after === undefined || state.isReading) {
      return Effect.succeed(CHECK_INTERVAL_MILLIS);
    }
    const sinceMillis = nowMillis();
    return Effect.tryPromise({
      try: () => relay.poll(after, state.isSourceLost),
      catch: error => error,
    }).pipe(
      Effect.flatMap(result =>
        Effect.try({
          try: () => applyPollResult(after, result, sinceMillis),
          catch: error => error,
        }),
      ),
    );
  });

  /** Falls back to reading the source when a poll fails. */
  const requireRead = Effect.sync(() => {
    state.requireRead('until-read');
    return CHECK_INTERVAL_MILLIS;
  });

  return step.pipe(
    Effect.catch(() => requireRead),
    Effect.flatMap(pauseMillis =>
      pauseMillis > 0 ? Effect.sleep(pauseMillis) : Effect.void,
    ),
    Effect.forever,
  );
}
