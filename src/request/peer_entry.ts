/**
 * Entry of calls from other nodes.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import * as Effect from 'effect/Effect';
import {describeError} from '../base/errors.js';
import type {Disposable} from '../base/lifecycle.js';
import {createIntervalTimer} from '../base/lifecycle.js';
import {digestOf} from '../connection/answer_body.js';
import {readBody, writeAnswer} from '../connection/answer_writer.js';
import type {
  CallAnswer,
  CallFailure,
  CallRequest,
} from '../connection/call_messages.js';
import {endToEndFields} from '../connection/header_fields.js';
import type {HttpExchange} from '../connection/http_listener.js';
import type {AdmissionController} from '../process/admission_controller.js';
import type {Metrics} from '../process/metrics.js';
import type {PolicyStore} from '../process/policy_store.js';
import {decodeCallContext, MAX_GRANT_COUNT} from '../protocol/call_context.js';
import {encodeCallResult} from '../protocol/call_result.js';
import {encodeFailureBody, statusCodeOf} from '../protocol/failure_body.js';
import {HEADER} from '../protocol/headers.js';
import type {Callee} from './callee.js';
import {failureFields} from './entry_answer.js';
import {headerText, rejectEntry} from './entry_request.js';

/** What the peer entry needs. */
export interface PeerEntryOptions {
  readonly hostName: string;
  readonly service: string;
  readonly callee: Callee;
  readonly admission: AdmissionController;
  readonly policies: PolicyStore;
  readonly metrics: Metrics;
}

/** Handler of the peer listener. */
export interface PeerEntry {
  handle(exchange: HttpExchange): Effect.Effect<void>;
}

/** Progress reports within one silence bound, so that one may be late. */
const REPORTS_PER_SILENCE = 3;
const DEFAULT_REQUEST_BYTES = 1 << 20;
const DEFAULT_SILENCE_MILLIS = 3000;

/** Creates the peer entry of one node. */
export function createPeerEntry(options: PeerEntryOptions): PeerEntry {
  return {
    handle: exchange =>
      readCall(options, exchange.request).pipe(
        Effect.flatMap(request =>
          answerWithProgress(options, exchange, request),
        ),
        Effect.matchEffect({
          onFailure: failure => writeFailed(options, exchange, failure),
          onSuccess: answer => writeAnswered(options, exchange, answer),
        }),
      ),
  };
}

function readCall(
  options: PeerEntryOptions,
  request: IncomingMessage,
): Effect.Effect<CallRequest, CallFailure> {
  return Effect.gen(function* () {
    const context = yield* Effect.try({
      try: () => decodeCallContext(headerText(request, HEADER.call) ?? ''),
      catch: error => {
        options.metrics.increment('peer_entry.malformed');
        return rejectEntry(
          'protocol-mismatch',
          describeError(error),
          options.hostName,
        );
      },
    });
    const policy = options.policies.byVersion(context.policyVersion);
    const maximumBytes =
      policy?.policy.bodies.requestBytes ?? DEFAULT_REQUEST_BYTES;
    const body = yield* readBody(request, maximumBytes).pipe(
      Effect.mapError(problem =>
        rejectEntry(
          problem === 'too-large' ? 'body-too-large' : 'malformed-request',
          `The body of the call is ${problem}.`,
          options.hostName,
        ),
      ),
    );
    return {
      context,
      method: request.method ?? '',
      path: request.url ?? '',
      headers: endToEndFields(request.rawHeaders).filter(
        field => field.name.toLowerCase() !== HEADER.idempotencyKey,
      ),
      body,
      key: headerText(request, HEADER.idempotencyKey),
    };
  });
}

/**
 * Reports progress while the call waits or runs. Without it the caller's node
 * could not tell a slow upstream from a connection that went silent for good.
 */
function answerWithProgress(
  options: PeerEntryOptions,
  exchange: HttpExchange,
  request: CallRequest,
): Effect.Effect<CallAnswer, CallFailure> {
  const policy = options.policies.byVersion(request.context.policyVersion);
  const silenceMillis =
    policy?.findService(options.service)?.progressTimeoutMillis ??
    DEFAULT_SILENCE_MILLIS;
  return Effect.acquireUseRelease(
    Effect.sync(() => startProgress(exchange.response, silenceMillis)),
    () => options.callee.answer(request),
    reports =>
      Effect.sync(() => {
        reports.dispose();
      }),
  );
}

function startProgress(
  response: ServerResponse,
  silenceMillis: number,
): Disposable {
  const intervalMillis = Math.ceil(silenceMillis / REPORTS_PER_SILENCE);
  return createIntervalTimer(intervalMillis, () => {
    if (!response.headersSent && !response.destroyed) {
      response.writeProcessing();
    }
  });
}

function writeAnswered(
  options: PeerEntryOptions,
  exchange: HttpExchange,
  answer: CallAnswer,
): Effect.Effect<void> {
  const result = encodeCallResult({
    outcome: 'ran',
    unspentCount: answer.unspentCount,
    load: answer.load ?? options.admission.load(),
    isDependencyFailed: answer.isDependencyFailed,
    isDependencyRefused: answer.isDependencyRefused,
    bodyDigest:
      answer.body.kind === 'whole' ? digestOf(answer.body.bytes) : undefined,
  });
  const written = writeAnswer(exchange.response, {
    statusCode: answer.statusCode,
    headers: [...answer.headers, {name: HEADER.result, value: result}],
    body: answer.body,
  });
  return Effect.asVoid(written);
}

/** The caller's node never takes back more than it lent. */
function unspentCountOf(failed: CallFailure): number {
  if (failed.unspent === 'all') return MAX_GRANT_COUNT;
  return failed.unspent === 'unknown' ? 0 : failed.unspent;
}

function writeFailed(
  options: PeerEntryOptions,
  exchange: HttpExchange,
  failed: CallFailure,
): Effect.Effect<void> {
  const {failure} = failed;
  const result = encodeCallResult({
    outcome: failure.outcome,
    unspentCount: unspentCountOf(failed),
    load: failed.load ?? options.admission.load(),
    isDependencyFailed: false,
    isDependencyRefused: false,
    failure: {
      reason: failure.reason,
      step: failure.step,
      peer: failure.peer,
      retryAfterMillis: failure.retryAfterMillis,
    },
  });
  if (!exchange.request.complete) {
    exchange.response.setHeader('connection', 'close');
  }
  const written = writeAnswer(exchange.response, {
    statusCode: statusCodeOf(failure.reason),
    headers: [...failureFields(failure), {name: HEADER.result, value: result}],
    body: {kind: 'whole', bytes: encodeFailureBody(failure, 'peer')},
  });
  return Effect.asVoid(written);
}
