/**
 * Writing of answers and failures to callers and to the local upstream.
 */
import type {ServerResponse} from 'node:http';
import type * as Effect from 'effect/Effect';
import type {WriteResult} from '../connection/answer_writer.js';
import {writeAnswer} from '../connection/answer_writer.js';
import type {CallAnswer} from '../connection/call_messages.js';
import type {HeaderField} from '../connection/header_fields.js';
import {encodeFailureBody, statusCodeOf} from '../protocol/failure_body.js';
import {HEADER} from '../protocol/headers.js';
import type {Failure, FailureReason} from '../protocol/outcome.js';

/** What an answer says about the request besides its content. */
export interface AnswerNotes {
  readonly requestId: string;
  readonly policyVersion: number | undefined;
  /** Retries spent over the whole chain; an upper bound after lost answers. */
  readonly retriesSpentCount: number | undefined;
}

const MILLIS_PER_SECOND = 1000;

/** Reasons for which no time to come back is told: a repeat cannot help. */
const PERMANENT: ReadonlySet<FailureReason> = new Set([
  'malformed-request',
  'body-too-large',
  'unknown-service',
  'unknown-route',
  'key-required',
  'key-malformed',
  'key-conflict',
  'answer-too-large',
]);

/** Whether a failed request may be worth another try later. */
export function isWorthRepeating(reason: FailureReason): boolean {
  return !PERMANENT.has(reason);
}

/** Writes an upstream's answer. */
export function writeCallAnswer(
  response: ServerResponse,
  answer: CallAnswer,
  notes: AnswerNotes,
): Effect.Effect<WriteResult> {
  const own: HeaderField[] = [
    {name: HEADER.outcome, value: 'ran'},
    ...noteFields(notes),
  ];
  return writeAnswer(response, {
    statusCode: answer.statusCode,
    headers: [...answer.headers, ...own],
    body: answer.body,
  });
}

/** Writes a failure as status code, headers and JSON body. */
export function writeFailure(
  response: ServerResponse,
  failure: Failure,
  notes: AnswerNotes,
): Effect.Effect<WriteResult> {
  return writeAnswer(response, {
    statusCode: statusCodeOf(failure.reason),
    headers: [...failureFields(failure), ...noteFields(notes)],
    body: {kind: 'whole', bytes: encodeFailureBody(failure, notes.requestId)},
  });
}

/** Header fields that describe a failure. */
export function failureFields(failure: Failure): readonly HeaderField[] {
  const fields: HeaderField[] = [
    {name: 'Content-Type', value: 'application/json'},
    {name: HEADER.outcome, value: failure.outcome},
    {name: HEADER.reason, value: failure.reason},
    {name: HEADER.step, value: failure.step},
    {name: HEADER.peer, value: failure.peer},
  ];
  if (failure.retryAfterMillis !== undefined) {
    fields.push({
      name: HEADER.retryAfter,
      value: String(retryAfterSeconds(failure.retryAfterMillis)),
    });
  }
  return fields;
}

/** Retry-After has whole seconds; rounding down would come back too early. */
function retryAfterSeconds(retryAfterMillis: number): number {
  return Math.max(1, Math.ceil(retryAfterMillis / MILLIS_PER_SECOND));
}

function noteFields(notes: AnswerNotes): readonly HeaderField[] {
  const fields: HeaderField[] = [
    {name: HEADER.requestId, value: notes.requestId},
  ];
  if (notes.policyVersion !== undefined) {
    const value = String(notes.policyVersion);
    fields.push({name: HEADER.policyVersion, value});
  }
  if (notes.retriesSpentCount !== undefined) {
    const value = String(notes.retriesSpentCount);
    fields.push({name: HEADER.retriesSpent, value});
  }
  return fields;
}

/** Complete raw answer to input that is no valid HTTP request. */
export function rawFailureAnswer(failure: Failure): string {
  const body = encodeFailureBody(failure, 'none').toString('utf8');
  const statusCode = statusCodeOf(failure.reason);
  const fields = failureFields(failure)
    .map(field => `${field.name}: ${field.value}\r\n`)
    .join('');
  const length = String(Buffer.byteLength(body));
  return `HTTP/1.1 ${String(statusCode)} Refused\r\n${fields}Connection: close\r\nContent-Length: ${length}\r\n\r\n${body}`;
}
