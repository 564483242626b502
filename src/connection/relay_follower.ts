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

export interface RelayFollowerOptions {
  readonly relay: DocumentRelay;
  readonly state: FollowerState;
  readonly peerPositions: PeerPositions | undefined;
  /** Another node responded to a poll. */
  readonly onResponse: () => void;
  readonly nowMillis: () => number;
}

/**
 * Maximum interval between polls: it limits the delay of a change, and lets a
 * node detect the loss of the watching node within the configured bound.
 */
export const RELAY_POLL_INTERVAL_MILLIS = 700;

/**
 * Minimum pauses between polls; the second applies while other nodes have later
 * changes.
 */
const POLL_PAUSE_MILLIS = 50;
const STALE_POLL_PAUSE_MILLIS = 300;

/** Polls the watching node until interrupted. */
export function followRelay(
  options: RelayFollowerOptions,
): Effect.Effect<never> {
  const {relay, state, peerPositions, nowMillis} = options;

  /** Returns the pause before the next poll. */
  const applyDocuments = (
    after: SourcePosition,
    batch: Exclude<RelayPollResult, string>,
    sinceMillis: number,
  ): number => {
    options.onResponse();
    state.markReached();
    if (batch.documents.length > 0) {
      state.reportCall('relayed', batch, sinceMillis);
    }
    state.applyChanges(after, batch);
    state.setWatching(false);
    const isStale = peerPositions?.isStale ?? false;
    return isStale ? STALE_POLL_PAUSE_MILLIS : POLL_PAUSE_MILLIS;
  };

  /** Returns the pause before the next poll. */
  const applyPollResult = (
    after: SourcePosition,
    result: RelayPollResult,
    sinceMillis: number,
  ): number => {
    if (result === 'watch') {
      state.setWatching(true);
      return RELAY_POLL_INTERVAL_MILLIS;
    }
    if (result === 'failed') {
      return state.isSourceLost ? RELAY_POLL_INTERVAL_MILLIS : 0;
    }
    // The polled position is invalid, or is about to become invalid.
    if (state.isReading || state.readRequirement !== 'no') {
      return RELAY_POLL_INTERVAL_MILLIS;
    }
    if (state.position?.epoch !== after.epoch) {
      return RELAY_POLL_INTERVAL_MILLIS;
    }
    if (result !== 'read') return applyDocuments(after, result, sinceMillis);
    state.setWatching(false);
    state.requireRead('until-read');
    return RELAY_POLL_INTERVAL_MILLIS;
  };

  const untilNextPoll =
    peerPositions === undefined
      ? Effect.sleep(RELAY_POLL_INTERVAL_MILLIS)
      : Effect.raceFirst(
          Effect.sleep(RELAY_POLL_INTERVAL_MILLIS),
          waitForStalePosition(peerPositions),
        );

  const pauseFor = (millis: number): Effect.Effect<unknown> => {
    if (millis === 0) return Effect.void;
    const sleep = Effect.sleep(millis);
    return millis < RELAY_POLL_INTERVAL_MILLIS
      ? Effect.andThen(sleep, untilNextPoll)
      : sleep;
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
      Effect.flatMap(result =>
        Effect.try({
          try: () => applyPollResult(after, result, sinceMillis),
          catch: error => error,
        }),
      ),
      Effect.flatMap(pauseFor),
    );
  });

  /** Falls back to reading the source when a poll fails. */
  const requireRead = Effect.sync(() => {
    state.requireRead('until-read');
  });

  return step.pipe(
    Effect.catch(() =>
      Effect.andThen(requireRead, pauseFor(RELAY_POLL_INTERVAL_MILLIS)),
    ),
    Effect.forever,
  );
}
