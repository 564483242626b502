/**
 * Streams this node opens to its peers: one task for each slot, one for each
 * stream.
 */
import * as Deferred from 'effect/Deferred';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type {Disposable} from '../base/lifecycle.js';
import type {Event} from '../base/event.js';
import type {Metrics} from '../process/metrics.js';
import type {PeerSlot} from '../process/peer_selection.js';
import type {ControlClient, ControlPeer} from './control_client.js';
import type {ExchangeContext} from './exchange_session.js';
import {runExchange} from './exchange_session.js';
import type {PeerChooser} from './peer_chooser.js';
import {createPeerLink} from './peer_link.js';
import type {PeerSuspicion} from './peer_suspicion.js';

const FIRST_BACKOFF_MILLIS = 100;
const LONGEST_BACKOFF_MILLIS = 5_000;
const OPEN_MILLIS = 2_000;

/** Options of `createPeerStreams`. */
export interface PeerStreamsOptions {
  readonly slots: readonly PeerSlot[];
  readonly chooser: PeerChooser;
  readonly suspicion: PeerSuspicion;
  readonly client: ControlClient;
  readonly context: ExchangeContext;
  readonly metrics: Metrics;
  /** Fires when another choice of peers may be due. */
  readonly onDidChangeChoice: Event<undefined>;
  /** Longest time without a look at the choice. */
  readonly recheckMillis: number;
}

/** A stream that has been started. */
interface PeerStream {
  readonly peer: ControlPeer;
  readonly opened: Deferred.Deferred<boolean>;
  readonly fiber: Fiber.Fiber<void>;
}

/** Opens and keeps the streams until disposed. */
export function createPeerStreams(options: PeerStreamsOptions): Disposable {
  const fibers = options.slots.map(slot =>
    Effect.runFork(keepSlot(slot, options)),
  );
  return {
    dispose: () => {
      for (const fiber of fibers) Effect.runFork(Fiber.interrupt(fiber));
    },
  };
}

/**
 * Keeps one slot filled. A better peer replaces the current one only after its
 * stream is open, so that a peer that cannot be reached costs no link.
 */
function keepSlot(
  slot: PeerSlot,
  options: PeerStreamsOptions,
): Effect.Effect<never> {
  const {chooser, suspicion} = options;
  return Effect.gen(function* () {
    let current: PeerStream | undefined;
    let failuresCount = 0;
    while (true) {
      if (current !== undefined && isOver(current)) {
        suspicion.mark(current.peer.hostName);
        chooser.release(current.peer);
        current = undefined;
        failuresCount += 1;
        yield* Effect.sleep(backoffMillis(failuresCount));
      }
      const wanted = chooser.choose(slot, current?.peer);
      if (wanted === undefined || isSamePeer(wanted, current?.peer)) {
        yield* awaitChange(current, options);
        continue;
      }
      const next = yield* tryOpenStream(wanted, options);
      if (next === undefined) {
        failuresCount += 1;
        yield* Effect.sleep(backoffMillis(failuresCount));
        continue;
      }
      if (current !== undefined) yield* closeStream(current, options);
      current = next;
      failuresCount = 0;
    }
  });
}

/** Opens a stream and waits for the peer's hello; undefined if there is none. */
function tryOpenStream(
  peer: ControlPeer,
  options: PeerStreamsOptions,
): Effect.Effect<PeerStream | undefined> {
  return Effect.gen(function* () {
    options.chooser.claim(peer);
    const stream = yield* openStream(peer, options);
    if (yield* awaitOpen(stream)) {
      options.suspicion.clear(peer.hostName);
      return stream;
    }
    yield* closeStream(stream, options);
    options.suspicion.mark(peer.hostName);
    return undefined;
  });
}

function isOver(stream: PeerStream): boolean {
  return stream.fiber.pollUnsafe() !== undefined;
}

function isSamePeer(
  left: ControlPeer,
  right: ControlPeer | undefined,
): boolean {
  return (
    left.hostName === right?.hostName &&
    left.address === right.address &&
    left.controlPort === right.controlPort
  );
}

/** Starts the task of a stream; it ends with the slot's task. */
function openStream(
  peer: ControlPeer,
  options: PeerStreamsOptions,
): Effect.Effect<PeerStream> {
  return Effect.gen(function* () {
    const opened = yield* Deferred.make<boolean>();
    const fiber = yield* Effect.forkChild(runStream(peer, opened, options));
    return {peer, opened, fiber};
  });
}

function runStream(
  peer: ControlPeer,
  opened: Deferred.Deferred<boolean>,
  options: PeerStreamsOptions,
): Effect.Effect<void> {
  const {client, metrics, context} = options;
  return Effect.suspend(() => {
    const abort = new AbortController();
    const link = createPeerLink({direction: 'outbound', target: peer, metrics});
    const incoming = client.exchange(peer, link.outgoing, abort.signal);
    return runExchange(link, incoming, {
      ...context,
      onDidOpen: openedLink => {
        Deferred.doneUnsafe(opened, Effect.succeed(true));
        context.onDidOpen(openedLink);
      },
    }).pipe(
      Effect.catch(() => {
        metrics.increment('control.stream_failures');
        return Effect.void;
      }),
      Effect.ensuring(
        Effect.sync(() => {
          abort.abort();
          Deferred.doneUnsafe(opened, Effect.succeed(false));
        }),
      ),
    );
  });
}

/** Whether the peer's hello arrived in time. */
function awaitOpen(stream: PeerStream): Effect.Effect<boolean> {
  return Deferred.await(stream.opened).pipe(
    Effect.timeoutOrElse({
      duration: OPEN_MILLIS,
      orElse: () => Effect.succeed(false),
    }),
  );
}

function closeStream(
  stream: PeerStream,
  options: PeerStreamsOptions,
): Effect.Effect<void> {
  return Effect.sync(() => {
    options.chooser.release(stream.peer);
  }).pipe(Effect.andThen(Fiber.interrupt(stream.fiber)));
}

/** Waits for the end of the stream, a change of the choice, or the next look. */
function awaitChange(
  current: PeerStream | undefined,
  options: PeerStreamsOptions,
): Effect.Effect<void> {
  const changed = awaitEvent(options.onDidChangeChoice);
  const ended = current === undefined ? Effect.never : awaitEnd(current);
  const recheck = Effect.sleep(options.recheckMillis);
  return Effect.raceFirst(Effect.raceFirst(changed, ended), recheck);
}

function awaitEnd(stream: PeerStream): Effect.Effect<void> {
  return Effect.asVoid(Fiber.await(stream.fiber));
}

function awaitEvent(event: Event<undefined>): Effect.Effect<undefined> {
  return Effect.callback<undefined>(resume => {
    const subscription = event(() => {
      subscription.dispose();
      resume(Effect.succeed(undefined));
    });
    return Effect.sync(() => {
      subscription.dispose();
    });
  });
}

/** Exponential with jitter, so that nodes do not retry in step. */
function backoffMillis(failuresCount: number): number {
  const fullMillis = Math.min(
    FIRST_BACKOFF_MILLIS * 2 ** (failuresCount - 1),
    LONGEST_BACKOFF_MILLIS,
  );
  return fullMillis * (0.5 + Math.random() / 2);
}
