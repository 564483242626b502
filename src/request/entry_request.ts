/**
 * Reading of a request that enters the layer, from a caller or the local
 * upstream.
 */
import type {IncomingMessage} from 'node:http';
import * as Effect from 'effect/Effect';
import {readBody} from '../connection/answer_writer.js';
import type {CallFailure} from '../connection/call_messages.js';
import type {HeaderField} from '../connection/header_fields.js';
import {endToEndFields} from '../connection/header_fields.js';
import {HEADER} from '../protocol/headers.js';
import type {FailureReason} from '../protocol/outcome.js';
import type {CompiledPolicy, RouteMatch} from '../version/policy.js';
import {createCallFailure} from './failures.js';

/** A request with its route found and its body read. */
export interface EntryRequest {
  readonly match: RouteMatch;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  readonly key: string | undefined;
  /** Milliseconds the client is going to wait, if it said so. */
  readonly timeoutMillis: number | undefined;
}

const MAX_KEY_LENGTH = 200;
const MAX_PATH_LENGTH = 8192;
const TIMEOUT_FORMAT = /^\d{1,9}$/;

/** Reads a request under a policy; fails with what is wrong with it. */
export function readEntryRequest(
  request: IncomingMessage,
  policy: CompiledPolicy,
  hostName: string,
): Effect.Effect<EntryRequest, CallFailure> {
  const fail = (
    reason: FailureReason,
    message: string,
  ): Effect.Effect<never, CallFailure> =>
    Effect.fail(rejectEntry(reason, message, hostName));

  return Effect.gen(function* () {
    const path = request.url ?? '';
    if (!path.startsWith('/') || path.length > MAX_PATH_LENGTH) {
      return yield* fail('malformed-request', 'The target must be a path.');
    }
    const serviceName = serviceOf(request);
    if (policy.findService(serviceName) === undefined) {
      return yield* fail(
        'unknown-service',
        `The Host header names no service: '${serviceName}'.`,
      );
    }
    const method = request.method ?? '';
    const match = policy.findRoute(serviceName, method, withoutQuery(path));
    if (match === undefined) {
      return yield* fail(
        'unknown-route',
        `Service ${serviceName} has no route for ${method} ${path}.`,
      );
    }
    const keyProblem = findKeyProblem(request, match);
    if (keyProblem !== undefined) {
      return yield* fail(keyProblem, KEY_MESSAGES[keyProblem]);
    }
    const timeoutText = headerText(request, HEADER.timeoutMillis);
    if (timeoutText !== undefined && !TIMEOUT_FORMAT.test(timeoutText)) {
      return yield* fail(
        'malformed-request',
        `${HEADER.timeoutMillis} must be a whole number of milliseconds.`,
      );
    }
    const maximumBytes = policy.policy.bodies.requestBytes;
    const body = yield* readBody(request, maximumBytes).pipe(
      Effect.mapError(problem =>
        problem === 'too-large'
          ? rejectEntry(
              'body-too-large',
              `The body exceeds ${String(maximumBytes)} bytes.`,
              hostName,
            )
          : rejectEntry('malformed-request', 'The body broke off.', hostName),
      ),
    );
    return {
      match,
      method,
      path,
      headers: endToEndFields(request.rawHeaders).filter(isPassedOn),
      body,
      key: keyOf(request, match),
      timeoutMillis:
        timeoutText === undefined ? undefined : Number(timeoutText),
    };
  });
}

type KeyProblem = 'key-required' | 'key-malformed';

const KEY_MESSAGES: Readonly<Record<KeyProblem, string>> = {
  'key-required': 'This route needs an Idempotency-Key header.',
  'key-malformed': `An Idempotency-Key has 1 to ${String(MAX_KEY_LENGTH)} visible ASCII characters.`,
};

function findKeyProblem(
  request: IncomingMessage,
  match: RouteMatch,
): KeyProblem | undefined {
  const key = headerText(request, HEADER.idempotencyKey);
  if (key === undefined) {
    return match.route.isKeyRequired ? 'key-required' : undefined;
  }
  const isWellFormed =
    key.length <= MAX_KEY_LENGTH && /^[\x21-\x7e]+$/.test(key);
  return isWellFormed ? undefined : 'key-malformed';
}

/** A key only matters where a repeat could do harm. */
function keyOf(
  request: IncomingMessage,
  match: RouteMatch,
): string | undefined {
  return match.route.repeat === 'never'
    ? headerText(request, HEADER.idempotencyKey)
    : undefined;
}

/** The key travels in a field of its own; the rest passes unchanged. */
function isPassedOn(field: HeaderField): boolean {
  return field.name.toLowerCase() !== HEADER.idempotencyKey;
}

function serviceOf(request: IncomingMessage): string {
  const host = request.headers.host ?? '';
  return host.split(/[.:]/, 1)[0] ?? '';
}

function withoutQuery(path: string): string {
  const queryStart = path.indexOf('?');
  return queryStart < 0 ? path : path.slice(0, queryStart);
}

/** First value of a header, if present. */
export function headerText(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Failure of a request that was refused as it entered. */
export function rejectEntry(
  reason: FailureReason,
  message: string,
  hostName: string,
): CallFailure {
  return createCallFailure({
    outcome: 'not-run',
    reason,
    step: 'entry',
    peer: hostName,
    message,
  });
}
