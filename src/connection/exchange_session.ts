/**
 * The conversation on one peer stream, from hello to its end.
 */
import {Code, ConnectError} from '@connectrpc/connect';
import * as Effect from 'effect/Effect';
import {describeError, TransportError} from '../base/errors.js';
import type {Metrics} from '../process/metrics.js';
import type {
  ControlMessage,
  Hello,
} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';
import {
  CONTROL_PROTOCOL_VERSION,
  findIncompatibility,
} from '../protocol/control_protocol.js';
import type {ControlCallError} from './control_client.js';
import type {PeerHello, PeerView} from './control_codec.js';
import {createHello, decodeView} from './control_codec.js';
import type {PeerLink} from './peer_link.js';
import {peerNameOf} from './peer_link.js';

/** Time to read what arrived during a pause before a peer counts as silent. */
const RESUME_GRACE_MILLIS = 100;

/** Why a peer's hello is not accepted. */
export type HelloRefusal =
  'protocol-version' | 'deployment' | 'own-host' | 'not-hello';

/** What a conversation needs of its node. */
export interface ExchangeContext {
  readonly metrics: Metrics;
  readonly hostName: string;
  readonly deployment: () => string;
  readonly controlAddress: string;
  readonly controlPort: () => number;
  readonly ownView: () => PeerView;
  /** Longest silence of the peer, also before its hello. */
  readonly silenceMillis: number;
  readonly onDidOpen: (link: PeerLink) => void;
  readonly onDidReceive: (link: PeerLink, message: ControlMessage) => void;
  readonly onDidClose: (link: PeerLink) => void;
}

/**
 * Runs the conversation on a link until the peer ends it; fails when it breaks
 * or the peer is silent or refused.
 */
export function runExchange(
  link: PeerLink,
  incoming: AsyncIterable<ControlMessage>,
  context: ExchangeContext,
): Effect.Effect<void, ControlCallError> {
  const iterator = incoming[Symbol.asyncIterator]();
  return Effect.gen(function* () {
    sendHello(link, context);
    const first = yield* receive(link, iterator, context);
    if (first === undefined) return;
    yield* acceptHello(link, first, context);
    yield* Effect.sync(() => {
      context.onDidOpen(link);
    });
    // A peer that sends but does not read is cut off at the bound of its queue;
    // without this look it would still count as linked and hear nothing.
    while (!link.outgoing.isClosed) {
      const message = yield* receive(link, iterator, context);
      if (message === undefined) return;
      if (message.message.case === 'hello') {
        yield* acceptHello(link, message, context);
      }
      context.onDidReceive(link, message);
    }
  }).pipe(
    Effect.tapError(error =>
      Effect.sync(() => {
        // The peer learns the reason instead of a stream that merely ends.
        link.outgoing.close(new ConnectError(error.message, Code.Aborted));
      }),
    ),
    Effect.ensuring(
      Effect.sync(() => {
        link.outgoing.close();
        context.onDidClose(link);
        // A generator that is left at a yield would keep its connection open.
        iterator.return?.().catch(() => undefined);
      }),
    ),
  );
}

/** Tells the peer who this node is; again when its deployment is first known. */
export function sendHello(link: PeerLink, context: ExchangeContext): void {
  link.send(
    createHello({
      protocolVersion: CONTROL_PROTOCOL_VERSION,
      hostName: context.hostName,
      deployment: context.deployment(),
      controlAddress: context.controlAddress,
      controlPort: context.controlPort(),
      view: context.ownView(),
    }),
  );
}

/**
 * Waits for the next message. A connection may go silent for good without an
 * error; the heartbeats of the peer then stop, and the stream is given up.
 *
 * After a pause of this process the timer is due at once although messages
 * wait to be read; without the grace every stream would be given up then.
 */
function receive(
  link: PeerLink,
  iterator: AsyncIterator<ControlMessage>,
  context: ExchangeContext,
): Effect.Effect<ControlMessage | undefined, ControlCallError> {
  const step = 'exchange';
  return Effect.tryPromise({
    try: () => iterator.next(),
    catch: error => linkError(link, step, describeError(error)),
  }).pipe(
    Effect.raceFirst(awaitSilence(link, context)),
    Effect.map(result => (result.done === true ? undefined : result.value)),
  );
}

function awaitSilence(
  link: PeerLink,
  context: ExchangeContext,
): Effect.Effect<never, ControlCallError> {
  return Effect.sleep(context.silenceMillis).pipe(
    Effect.andThen(Effect.sleep(RESUME_GRACE_MILLIS)),
    Effect.andThen(
      Effect.suspend(() => {
        context.metrics.increment('control.links_silent');
        return Effect.fail(linkError(link, 'exchange', 'The peer is silent.'));
      }),
    ),
  );
}

function acceptHello(
  link: PeerLink,
  message: ControlMessage,
  context: ExchangeContext,
): Effect.Effect<void, ControlCallError> {
  return Effect.suspend(() => {
    const hello = readHello(message);
    const refusal = findRefusal(hello, context);
    if (hello !== undefined && refusal === undefined) {
      link.hello = hello;
      link.view = hello.view;
      return Effect.void;
    }
    context.metrics.increment('control.hellos_refused', {
      reason: refusal ?? 'not-hello',
    });
    const text = `Refused the peer's hello for ${refusal ?? 'not-hello'}.`;
    return Effect.fail(linkError(link, 'hello', text));
  });
}

function readHello(message: ControlMessage): PeerHello | undefined {
  if (message.message.case !== 'hello') return undefined;
  return decodeHello(message.message.value);
}

function decodeHello(hello: Hello): PeerHello {
  return {
    protocolVersion: hello.protocolVersion,
    hostName: hello.hostName,
    deployment: hello.deployment,
    controlAddress: hello.controlAddress,
    controlPort: hello.controlPort,
    view: decodeView(hello.view),
  };
}

function findRefusal(
  hello: PeerHello | undefined,
  context: ExchangeContext,
): HelloRefusal | undefined {
  if (hello === undefined) return 'not-hello';
  if (hello.hostName === context.hostName) return 'own-host';
  return findIncompatibility(
    {
      protocolVersion: CONTROL_PROTOCOL_VERSION,
      deployment: context.deployment(),
    },
    hello,
  );
}

function linkError(
  link: PeerLink,
  step: string,
  text: string,
): ControlCallError {
  return new TransportError(text, {props: {step, peer: peerNameOf(link)}});
}
