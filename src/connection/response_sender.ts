/**
 * Writes a response to a client such that an incomplete one never looks
 * complete.
 */
import type {ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import {pipeline} from 'node:stream';
import type {ReceivedResponse} from './received_response.js';
import {findHeader} from './received_response.js';

/**
 * Sends a response with the given headers instead of its own; a response to
 * `HEAD` has no body.
 */
export function sendResponse(
  response: ServerResponse,
  received: ReceivedResponse,
  headers: readonly string[],
  method: string,
): void {
  if (response.destroyed) {
    received.bodyRest?.destroy();
    return;
  }
  const fields = [...headers];
  if (isCloseDelimited(received, method)) {
    sendUnframed(response, received, fields);
    return;
  }
  if (received.bodyRest === undefined) {
    addContentLength(fields, received, method);
    response.writeHead(received.statusCode, fields);
    // A string body is sent in one write with the header; a buffer would need a
    // second write.
    response.end(received.bodyStart.toString('latin1'), 'latin1');
    return;
  }
  const length = findHeader(received.headers, 'content-length');
  if (length !== undefined) fields.push('content-length', length);
  response.writeHead(received.statusCode, fields);
  writeWithBodyRest(response, received, received.bodyRest);
}

/** Whether the close of the connection marks the end of the body. */
export function isCloseDelimited(
  received: ReceivedResponse,
  method: string,
): boolean {
  return received.isUnframed && hasBody(received, method);
}

/**
 * Closes the connection at the end of the body, as the upstream did. A content
 * length would present a body as complete that a crash may have cut short.
 */
function sendUnframed(
  response: ServerResponse,
  received: ReceivedResponse,
  fields: readonly string[],
): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  const otherFields = withoutConnectionHeader(fields);
  response.writeHead(received.statusCode, [
    ...otherFields,
    'connection',
    'close',
  ]);
  const {bodyRest} = received;
  if (bodyRest === undefined) {
    response.end(received.bodyStart);
    return;
  }
  // A normal close marks the end of such a response, so an aborted body would
  // look complete to the client; a reset reports the abort.
  bodyRest.once('error', () => {
    response.socket?.resetAndDestroy();
  });
  writeWithBodyRest(response, received, bodyRest);
}

function withoutConnectionHeader(fields: readonly string[]): readonly string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < fields.length; index += 2) {
    const name = fields[index] ?? '';
    if (name === 'connection') continue;
    kept.push(name, fields[index + 1] ?? '');
  }
  return kept;
}

/**
 * `pipeline` destroys the connection if the body is aborted: a response that
 * merely ended would look complete to a client that expects chunks.
 */
function writeWithBodyRest(
  response: ServerResponse,
  received: ReceivedResponse,
  bodyRest: Readable,
): void {
  response.write(received.bodyStart);
  pipeline(bodyRest, response, () => undefined);
}

function hasBody(received: ReceivedResponse, method: string): boolean {
  return method !== 'HEAD' && !NO_BODY_STATUS_CODES.has(received.statusCode);
}

const NO_BODY_STATUS_CODES: ReadonlySet<number> = new Set([204, 304]);

function addContentLength(
  fields: string[],
  received: ReceivedResponse,
  method: string,
): void {
  if (hasBody(received, method)) {
    fields.push('content-length', String(received.bodyStart.length));
    return;
  }
  const length = findHeader(received.headers, 'content-length');
  if (method === 'HEAD' && length !== undefined) {
    fields.push('content-length', length);
  }
}
