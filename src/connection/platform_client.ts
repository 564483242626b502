/**
 * Reads and watches of the platform's configuration service over HTTP/1.1.
 */
import type {IncomingMessage} from 'node:http';
import {Agent, request} from 'node:http';
import * as Effect from 'effect/Effect';
import type {Disposable} from '../base/lifecycle.js';
import {TransportError} from '../base/errors.js';
import {MAX_DOCUMENT_BYTES} from '../version/json_document.js';

/** The documents the platform publishes. */
export type PlatformDocument = 'policy' | 'host-list';

/** Failure of a read; carries the step and the platform's address. */
export type PlatformError = InstanceType<typeof TransportError>;

/** What the platform answered. */
export type PlatformAnswer =
  | {readonly kind: 'document'; readonly bytes: Uint8Array}
  /** Nothing newer; the version it holds, if it said so. */
  | {readonly kind: 'unchanged'; readonly heldVersion: number | undefined};

/** Which answer is asked for. */
export interface PlatformQuery {
  readonly document: PlatformDocument;
  /** Version held already; undefined asks for whatever there is. */
  readonly afterVersion?: number | undefined;
  /** Longest time the platform may wait for a newer version. */
  readonly waitMillis?: number | undefined;
}

/** Asks the platform. */
export abstract class PlatformClient implements Disposable {
  abstract get(
    query: PlatformQuery,
  ): Effect.Effect<PlatformAnswer, PlatformError>;
  abstract dispose(): void;
}

const PATHS: Readonly<Record<PlatformDocument, string>> = {
  policy: '/v1/policy',
  'host-list': '/v1/hosts',
};

/** Time beyond the requested wait after which the platform does not answer. */
const ANSWER_MILLIS = 3_000;

const SOCKETS_COUNT = 4;
const STATUS_OK = 200;
const STATUS_NOT_MODIFIED = 304;

/** Creates a client of one platform address. */
export function createPlatformClient(platformUrl: string): PlatformClient {
  const agent = new Agent({keepAlive: true, maxSockets: SOCKETS_COUNT});
  return new (class extends PlatformClient {
    override get(
      query: PlatformQuery,
    ): Effect.Effect<PlatformAnswer, PlatformError> {
      return get(platformUrl, agent, query);
    }
    override dispose(): void {
      agent.destroy();
    }
  })();
}

/**
 * Sends one request. The deadline covers the whole answer: a platform that
 * accepts a connection and then says nothing would hold the watch for good.
 * Destroying the request closes its socket, so the next one gets a new one.
 */
function get(
  platformUrl: string,
  agent: Agent,
  query: PlatformQuery,
): Effect.Effect<PlatformAnswer, PlatformError> {
  return Effect.callback<PlatformAnswer, PlatformError>(resume => {
    const fail = (message: string): void => {
      resume(Effect.fail(platformError(message, platformUrl)));
      sent.destroy();
    };
    const sent = request(urlOf(platformUrl, query), {agent}, response => {
      readAnswer(
        response,
        answer => {
          clearTimeout(timer);
          resume(Effect.succeed(answer));
        },
        fail,
      );
    });
    const timer = setTimeout(
      () => {
        fail('No answer in time.');
      },
      (query.waitMillis ?? 0) + ANSWER_MILLIS,
    );
    sent.once('error', error => {
      clearTimeout(timer);
      fail(error.message);
    });
    sent.end();
    return Effect.sync(() => {
      clearTimeout(timer);
      sent.destroy();
    });
  });
}

function urlOf(platformUrl: string, query: PlatformQuery): URL {
  const url = new URL(PATHS[query.document], platformUrl);
  if (query.afterVersion !== undefined) {
    url.searchParams.set('after', String(query.afterVersion));
  }
  if (query.waitMillis !== undefined) {
    url.searchParams.set('wait_ms', String(query.waitMillis));
  }
  return url;
}

function readAnswer(
  response: IncomingMessage,
  onAnswer: (answer: PlatformAnswer) => void,
  onFailure: (message: string) => void,
): void {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  response.on('data', (chunk: Buffer) => {
    chunks.push(chunk);
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_DOCUMENT_BYTES) {
      onFailure(`The answer exceeds ${String(MAX_DOCUMENT_BYTES)} bytes.`);
    }
  });
  response.once('error', error => {
    onFailure(error.message);
  });
  response.once('end', () => {
    const answer = toAnswer(response, Buffer.concat(chunks));
    if (answer !== undefined) onAnswer(answer);
    else onFailure(`Answered with status ${String(response.statusCode)}.`);
  });
}

function toAnswer(
  response: IncomingMessage,
  bytes: Uint8Array,
): PlatformAnswer | undefined {
  switch (response.statusCode) {
    case STATUS_OK:
      return {kind: 'document', bytes};
    case STATUS_NOT_MODIFIED:
      return {kind: 'unchanged', heldVersion: parseEtag(response.headers.etag)};
    default:
      return undefined;
  }
}

/** Reads the version from an `etag` of the form `"12"`. */
function parseEtag(etag: string | undefined): number | undefined {
  const digits = etag === undefined ? undefined : /^"(\d+)"$/.exec(etag)?.[1];
  return digits === undefined ? undefined : Number(digits);
}

function platformError(message: string, platformUrl: string): PlatformError {
  return new TransportError(`The platform failed: ${message}`, {
    props: {step: 'read-platform', peer: platformUrl},
  });
}
