/**
 * Polls the watching node for changes.
 */
import * as Effect from 'effect/Effect';
import type {
  DocumentRelay,
  RelayPollResult,
} from '../process/membership/document_relay.js';
import type {SourcePosition} from '../process/membership/document_source.js';
import type {PeerPositions} from '../process/membership/peer_positions.js';
import type {FollowerState} from './follower_state.js';
import {waitForStalePosition} from './wait_for_stale_position.js';

/** What it needs. */
export interface RelayFollowerOptions {
  readonly relay: DocumentRelay;
  readonly state: FollowerState;
  readonly peerPositions: PeerPositions | undefined;
  /** Another node has answered. */
  readonly onResponse: () => void;
  readonly nowMillis: () => number;
}

/**
 * Interval of the questions: a node learns of a change at the latest then, and of
 * the loss of the one that watches before the bound is over.
 */
export const RELAY_POLL_INTERVAL_MILLIS = 700;

/** Time left between two questions, the second while others still know more. */
const PAUSE_MILLIS = 50;
const STALE_PAUSE_MILLIS = 300;

/** Polls the watching node until interrupted. */
export function followRelay(
  options: RelayFollowerOptions,
): Effect.Effect<never> {
  const {relay, state, peerPositions, nowMillis} = options;

  /** Returns the pause before the next question. */
  const takeDocuments = (
    after: SourcePosition,
    read: Exclude<RelayPollResult, string>,
    sinceMillis: number,
  ): number => {
    options.onResponse();
    state.markReached();
    if (read.documents.length > 0) {
      state.reportCall('relayed', read, sinceMillis);
    }
    state.applyChanges(after, read);
    state.setWatching(false);
    const isStale = peerPositions?.isStale ?? false;
    return isStale ? STALE_PAUSE_MILLIS : PAUSE_MILLIS;
  };

  /** Returns the pause before the next question. */
  const take = (
    after: SourcePosition,
    end: RelayPollResult,
    sinceMillis: number,
  ): number => {
    if (end === 'watch') {
      state.setWatching(true);
      return RELAY_POLL_INTERVAL_MILLIS;
    }
    if (end === 'failed') {
      return state.isSourceLost ? RELAY_POLL_INTERVAL_MILLIS : 0;
    }
    // The position that was asked for is void, or about to be.
    if (state.isReading || state.readRequirement !== 'no') {
      return RELAY_POLL_INTERVAL_MILLIS;
    }
    if (state.position?.epoch !== after.epoch) {
      return RELAY_POLL_INTERVAL_MILLIS;
    }
    if (end !== 'read') return takeDocuments(after, end, sinceMillis);
    state.setWatching(false);
    state.requireRead('until-read');
    return RELAY_POLL_INTERVAL_MILLIS;
  };

  const untilAskedAgain =
    peerPositions === undefined
      ? Effect.sleep(RELAY_POLL_INTERVAL_MILLIS)
      : Effect.raceFirst(
          Effect.sleep(RELAY_POLL_INTERVAL_MILLIS),
          waitForStalePosition(peerPositions),
        );

  const pauseFor = (millis: number): Effect.Effect<unknown> => {
    if (millis === 0) return Effect.void;
    const slept = Effect.sleep(millis);
    return millis < RELAY_POLL_INTERVAL_MILLIS
      ? Effect.andThen(slept, untilAskedAgain)
      : slept;
  };

  const step = Effect.suspend((): Effect.Effect<unknown, unknown> => {
    const after = state.position;
    if (after === undefined || state.isReading) {
      return pauseFor(RELAY_POLL_INTERVAL_MILLIS);
    }
    const sinceMillis = nowMillis();
    return Effect.tryPromise({
      try: () => relay.poll(after, state.isSourceLost),
      catch: error => error,
    }).pipe(
      Effect.flatMap(end =>
        Effect.try({
          try: () => take(after, end, sinceMillis),
          catch: error => error,
        }),
      ),
      Effect.flatMap(pauseFor),
    );
  });

  /** Falls back to reading the source when a poll brings no changes. */
  const failed = Effect.sync(() => {
    state.requireRead('until-read');
  });

  return step.pipe(
    Effect.catch(() =>
      Effect.andThen(failed, pauseFor(RELAY_POLL_INTERVAL_MILLIS)),
    ),
    Effect.forever,
  );
}
