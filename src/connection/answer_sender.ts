/**
 * Writes an answer on a connection, so that an incomplete one never looks
 * complete.
 */
import type {ServerResponse} from 'node:http';
import {pipeline} from 'node:stream';
import type {ReceivedAnswer} from './received_answer.js';
import {headerOf} from './received_answer.js';

/** How the body of a request asks for its answer. */
export interface AnswerForm {
  /** `HEAD` is answered without a body. */
  readonly method: string;
}

/** Sends an answer with the given headers in place of its own. */
export function sendAnswer(
  response: ServerResponse,
  answer: ReceivedAnswer,
  headers: readonly string[],
  form: AnswerForm,
): void {
  if (response.destroyed) {
    answer.rest?.destroy();
    return;
  }
  const fields = [...headers];
  if (answer.rest === undefined) {
    addLength(fields, answer, form);
    response.writeHead(answer.statusCode, fields);
    response.end(answer.start);
    return;
  }
  const length = headerOf(answer.headers, 'content-length');
  if (length !== undefined) fields.push('content-length', length);
  response.writeHead(answer.statusCode, fields);
  response.write(answer.start);
  // `pipeline` destroys the connection if the rest breaks off: an answer that
  // merely ended would look complete to a client that expects chunks.
  pipeline(answer.rest, response, () => undefined);
}

const NO_BODY_STATUS_CODES: ReadonlySet<number> = new Set([204, 304]);

function addLength(
  fields: string[],
  answer: ReceivedAnswer,
  form: AnswerForm,
): void {
  if (NO_BODY_STATUS_CODES.has(answer.statusCode)) return;
  if (form.method === 'HEAD') {
    const length = headerOf(answer.headers, 'content-length');
    if (length !== undefined) fields.push('content-length', length);
    return;
  }
  fields.push('content-length', String(answer.start.length));
}
