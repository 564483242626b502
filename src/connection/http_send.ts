/**
 * One HTTP/1.1 request sent by Node's `http`, with the facts a caller needs to
 * tell whether the receiver may have acted on it.
 */
import type {Agent, ClientRequest, IncomingMessage} from 'node:http';
import {request as startRequest} from 'node:http';
import * as Effect from 'effect/Effect';
import {TransportError} from '../base/errors.js';
import type {FailureReason} from '../protocol/outcome.js';
import type {AnswerBody} from './answer_body.js';
import {declaredSha256, digestOf, matchesDeclared} from './answer_body.js';
import type {HeaderField} from './header_fields.js';
import {toRawHeaders} from './header_fields.js';

/** What to send and within which bounds. */
export interface HttpSendOptions {
  readonly agent: Agent;
  readonly address: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /** Bodies above this size are streamed. */
  readonly bufferedBytes: number;
  /** Longest time to connect. */
  readonly connectMillis: number;
  /** Longest time without any sign of progress once connected. */
  readonly silenceMillis: number;
  /** Host name for errors. */
  readonly peer: string;
}

/** A received answer. */
export interface HttpAnswer {
  readonly statusCode: number;
  readonly headers: IncomingMessage['headers'];
  readonly rawHeaders: readonly string[];
  readonly body: AnswerBody;
}

/** How a send failed. */
export type SendFailureKind =
  'connect' | 'silent' | 'broken' | 'incomplete' | 'digest';

const REASON_OF_KIND: Readonly<Record<SendFailureKind, FailureReason>> = {
  connect: 'connect-failed',
  silent: 'attempt-timeout',
  broken: 'connection-lost',
  incomplete: 'answer-incomplete',
  digest: 'answer-incomplete',
};

/** Reason told for a failed send. */
export function reasonOfSendFailure(kind: SendFailureKind): FailureReason {
  return REASON_OF_KIND[kind];
}

/** Failure of a send. */
export interface SendFailure {
  readonly _tag: 'SendFailure';
  readonly kind: SendFailureKind;
  /** False only when no byte of the request can have reached the receiver. */
  readonly mayHaveArrived: boolean;
  readonly error: Error;
}

/**
 * Sends a request and waits for its answer. Interruption destroys the
 * connection, so a late answer can never be taken for another request's.
 */
export function sendHttp(
  options: HttpSendOptions,
): Effect.Effect<HttpAnswer, SendFailure> {
  return Effect.callback<HttpAnswer, SendFailure>(resume => {
    const exchange = startExchange(options, resume);
    return Effect.sync(() => {
      exchange.abandon();
    });
  });
}

interface Exchange {
  abandon(): void;
}

type Resume = (effect: Effect.Effect<HttpAnswer, SendFailure>) => void;

function startExchange(options: HttpSendOptions, resume: Resume): Exchange {
  let isSettled = false;
  let isConnected = false;
  let timer: NodeJS.Timeout | undefined;
  const request = openRequest(options);

  const settle = (effect: Effect.Effect<HttpAnswer, SendFailure>): boolean => {
    if (isSettled) return false;
    isSettled = true;
    clearTimeout(timer);
    resume(effect);
    return true;
  };
  const fail = (kind: SendFailureKind, cause: string): void => {
    const isFirst = settle(
      Effect.fail(createSendFailure(options, kind, isConnected, cause)),
    );
    if (isFirst) request.destroy();
  };
  const watchSilence = (): void => {
    clearTimeout(timer);
    timer = setTimeout(() => {
      fail('silent', `no progress for ${String(options.silenceMillis)} ms`);
    }, options.silenceMillis);
  };

  // The bound also covers the wait for a socket while all of the pool are
  // taken: that wait is a queue without classes and must stay short.
  timer = setTimeout(() => {
    fail('connect', `not connected within ${String(options.connectMillis)} ms`);
  }, options.connectMillis);
  request.on('socket', socket => {
    const onConnected = (): void => {
      if (isSettled) return;
      isConnected = true;
      watchSilence();
    };
    if (socket.connecting) socket.once('connect', onConnected);
    else onConnected();
  });
  request.on('information', watchSilence);
  request.on('error', error => {
    fail(isConnected ? 'broken' : 'connect', error.message);
  });
  request.on('response', response => {
    watchSilence();
    receiveAnswer(options, response, {
      onProgress: () => {
        if (!isSettled) watchSilence();
      },
      onAnswer: answer => {
        settle(Effect.succeed(answer));
      },
      onFailure: fail,
    });
  });
  request.end(options.body);
  return {
    abandon: () => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      request.destroy();
    },
  };
}

function openRequest(options: HttpSendOptions): ClientRequest {
  const headers = toRawHeaders(options.headers);
  const hasBody = options.body.length > 0;
  const hasLength = hasBody || !['GET', 'HEAD'].includes(options.method);
  if (hasLength) headers.push('Content-Length', String(options.body.length));
  return startRequest({
    agent: options.agent,
    host: options.address,
    port: options.port,
    method: options.method,
    path: options.path,
    headers,
  });
}

interface AnswerListener {
  onProgress(): void;
  onAnswer(answer: HttpAnswer): void;
  onFailure(kind: SendFailureKind, cause: string): void;
}

/**
 * Holds the body until it is complete, or hands it on as a stream once it
 * outgrows the bound.
 */
function receiveAnswer(
  options: HttpSendOptions,
  response: IncomingMessage,
  listener: AnswerListener,
): void {
  const lengthBytes = declaredLength(response);
  const declaredDigest = declaredSha256(
    response.headers['content-digest'] as string | undefined,
  );
  const chunks: Buffer[] = [];
  let receivedBytes = 0;

  const answerWith = (body: AnswerBody): void => {
    listener.onAnswer({
      statusCode: response.statusCode ?? 0,
      headers: response.headers,
      rawHeaders: response.rawHeaders,
      body,
    });
  };
  const stream = (): void => {
    response.off('data', onData);
    response.off('end', onEnd);
    response.off('error', onError);
    response.pause();
    // A sender that falls silent within a streamed body would hold the caller
    // for good. A pause asked for by a slow receiver is not silence.
    response.setTimeout(options.silenceMillis, () => {
      if (response.isPaused()) return;
      response.destroy(new Error('silent within the body'));
    });
    answerWith({
      kind: 'streamed',
      head: chunks,
      source: response,
      lengthBytes,
      declaredDigest,
    });
  };
  const onData = (chunk: Buffer): void => {
    listener.onProgress();
    chunks.push(chunk);
    receivedBytes += chunk.length;
    if (receivedBytes > options.bufferedBytes) stream();
  };
  const onEnd = (): void => {
    const bytes = Buffer.concat(chunks, receivedBytes);
    if (!isDigestValid(bytes, declaredDigest)) {
      listener.onFailure('digest', 'body does not match its digest');
      return;
    }
    answerWith({kind: 'whole', bytes});
  };
  const onError = (error: Error): void => {
    listener.onFailure('incomplete', error.message);
  };

  // Node reports a body shorter than declared, or a chunked body without its
  // last chunk, as an error instead of an end, so 'end' means complete.
  response.on('error', onError);
  if (lengthBytes !== undefined && lengthBytes > options.bufferedBytes) {
    stream();
    return;
  }
  response.on('data', onData);
  response.on('end', onEnd);
}

function declaredLength(response: IncomingMessage): number | undefined {
  const text = response.headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

function isDigestValid(bytes: Buffer, declared: string | undefined): boolean {
  if (declared === undefined) return true;
  const actual = Buffer.from(digestOf(bytes), 'base64url').toString('base64');
  return matchesDeclared(actual, declared);
}

function createSendFailure(
  options: HttpSendOptions,
  kind: SendFailureKind,
  isConnected: boolean,
  cause: string,
): SendFailure {
  const error = new TransportError(
    `${options.method} to ${options.peer} failed: ${cause}`,
    {props: {step: kind, peer: options.peer}},
  );
  return {_tag: 'SendFailure', kind, mayHaveArrived: isConnected, error};
}
