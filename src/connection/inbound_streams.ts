/**
 * Streams that peers open to this node.
 */
import {Code, ConnectError} from '@connectrpc/connect';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type {Disposable} from '../base/lifecycle.js';
import type {Metrics} from '../process/metrics.js';
import type {ControlMessage} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';
import type {ExchangeContext} from './exchange_session.js';
import {runExchange} from './exchange_session.js';
import {createPeerLink} from './peer_link.js';

/** Serves inbound streams, each in a task of its own. */
export interface InboundStreams extends Disposable {
  serve(
    incoming: AsyncIterable<ControlMessage>,
    signal: AbortSignal,
  ): AsyncIterable<ControlMessage>;
}

/** Options of `createInboundStreams`. */
export interface InboundStreamsOptions {
  readonly context: ExchangeContext;
  readonly metrics: Metrics;
  /** Streams served at a time; further ones are refused. */
  readonly limitCount: number;
}

/** Creates the serving side without streams. */
export function createInboundStreams(
  options: InboundStreamsOptions,
): InboundStreams {
  const {context, metrics, limitCount} = options;
  const fibers = new Set<Fiber.Fiber<void>>();

  function start(
    incoming: AsyncIterable<ControlMessage>,
    signal: AbortSignal,
  ): AsyncIterable<ControlMessage> {
    const link = createPeerLink({direction: 'inbound', metrics});
    const fiber = Effect.runFork(
      runExchange(link, incoming, context).pipe(
        Effect.catch(() => {
          metrics.increment('control.stream_failures', {direction: 'inbound'});
          return Effect.void;
        }),
      ),
    );
    const stop = (): void => {
      Effect.runFork(Fiber.interrupt(fiber));
    };
    fibers.add(fiber);
    signal.addEventListener('abort', stop, {once: true});
    fiber.addObserver(() => {
      fibers.delete(fiber);
      signal.removeEventListener('abort', stop);
    });
    return link.outgoing;
  }

  return {
    serve: (incoming, signal) => {
      if (fibers.size < limitCount) return start(incoming, signal);
      metrics.increment('control.streams_refused', {reason: 'limit'});
      throw new ConnectError('Too many streams.', Code.ResourceExhausted);
    },
    dispose: () => {
      for (const fiber of fibers) Effect.runFork(Fiber.interrupt(fiber));
    },
  };
}
