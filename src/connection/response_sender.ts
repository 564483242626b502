/**
 * Writes an answer on a connection, so that an incomplete one never looks
 * complete.
 */
import type {ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import {pipeline} from 'node:stream';
import type {ReceivedResponse} from './received_response.js';
import {findHeader} from './received_response.js';

/**
 * Sends an answer with the given headers in place of its own; `HEAD` is
 * answered without a body.
 */
export function sendResponse(
  response: ServerResponse,
  answer: ReceivedResponse,
  headers: readonly string[],
  method: string,
): void {
  if (response.destroyed) {
    answer.bodyRest?.destroy();
    return;
  }
  const fields = [...headers];
  if (isCloseDelimited(answer, method)) {
    sendUnframed(response, answer, fields);
    return;
  }
  if (answer.bodyRest === undefined) {
    addLength(fields, answer, method);
    response.writeHead(answer.statusCode, fields);
    // As text the body goes out in one write with the header; as bytes it would
    // be a second one.
    response.end(answer.bodyStart.toString('latin1'), 'latin1');
    return;
  }
  const length = findHeader(answer.headers, 'content-length');
  if (length !== undefined) fields.push('content-length', length);
  response.writeHead(answer.statusCode, fields);
  writeWithRest(response, answer, answer.bodyRest);
}

/** Whether the end of the connection is the end of the answer. */
export function isCloseDelimited(
  answer: ReceivedResponse,
  method: string,
): boolean {
  return answer.isUnframed && hasBody(answer, method);
}

/**
 * Ends the body with the connection, as the upstream did. A length would
 * vouch for a body that may have been cut short by a crash.
 */
function sendUnframed(
  response: ServerResponse,
  answer: ReceivedResponse,
  fields: readonly string[],
): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  const others = withoutConnection(fields);
  response.writeHead(answer.statusCode, [...others, 'connection', 'close']);
  const {bodyRest} = answer;
  if (bodyRest === undefined) {
    response.end(answer.bodyStart);
    return;
  }
  // An end in good order is the end of such an answer: closed like any other
  // connection, a broken one would be taken for whole. A reset tells.
  bodyRest.once('error', () => {
    response.socket?.resetAndDestroy();
  });
  writeWithRest(response, answer, bodyRest);
}

function withoutConnection(fields: readonly string[]): readonly string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < fields.length; index += 2) {
    const name = fields[index] ?? '';
    if (name === 'connection') continue;
    kept.push(name, fields[index + 1] ?? '');
  }
  return kept;
}

/**
 * `pipeline` destroys the connection if the rest breaks off: an answer that
 * merely ended would look complete to a client that expects chunks.
 */
function writeWithRest(
  response: ServerResponse,
  answer: ReceivedResponse,
  rest: Readable,
): void {
  response.write(answer.bodyStart);
  pipeline(rest, response, () => undefined);
}

function hasBody(answer: ReceivedResponse, method: string): boolean {
  return method !== 'HEAD' && !NO_BODY_STATUS_CODES.has(answer.statusCode);
}

const NO_BODY_STATUS_CODES: ReadonlySet<number> = new Set([204, 304]);

function addLength(
  fields: string[],
  answer: ReceivedResponse,
  method: string,
): void {
  if (hasBody(answer, method)) {
    fields.push('content-length', String(answer.bodyStart.length));
    return;
  }
  const length = findHeader(answer.headers, 'content-length');
  if (method === 'HEAD' && length !== undefined) {
    fields.push('content-length', length);
  }
}
