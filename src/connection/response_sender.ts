/**
 * Writes a response to a client such that an incomplete one never looks
 * complete.
 */
import type {ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import {pipeline} from 'node:stream';
import {describeError} from '../base/errors.js';
import type {ReceivedResponse} from './received_response.js';
import {findHeader} from './received_response.js';

/** The request that a response belongs to. */
export interface RespondedRequest {
  /** A response to `HEAD` has no body. */
  readonly method: string;
  /** The response broke off: its body was aborted, or the client left. */
  readonly onCut: (reason: string) => void;
}

/** Sends a response with the given headers instead of its own. */
export function sendResponse(
  response: ServerResponse,
  received: ReceivedResponse,
  headers: readonly string[],
  {method, onCut}: RespondedRequest,
): void {
  if (response.destroyed) {
    received.bodyRest?.destroy();
    return;
  }
  const fields = [...headers];
  const length = contentLength(received, method);
  if (length !== undefined) fields.push('content-length', length);
  const endsWithConnection = isCloseDelimited(response, received, method);
  if (endsWithConnection) {
    response.useChunkedEncodingByDefault = false;
    setConnectionClose(fields);
  }
  response.writeHead(received.statusCode, fields);
  const {bodyRest, bodyStart} = received;
  if (bodyRest === undefined) {
    // A string body is sent in one write with the header; a buffer would need a
    // second write.
    response.end(bodyStart.toString('latin1'), 'latin1');
    return;
  }
  bodyRest.once('error', error => {
    // A normal close would mark the end of the body; a reset reports the abort.
    if (endsWithConnection || received.isUnframed) {
      response.socket?.resetAndDestroy();
    }
    onCut(describeError(error));
  });
  writeWithBodyRest(response, bodyStart, bodyRest);
}

/**
 * Whether the close of the connection marks the end of the body: for a client
 * without support for chunks (HTTP/1.0), and for a complete unframed body, since
 * a last chunk would present it as complete although a crash of the upstream may
 * have cut it short.
 *
 * The system closes the connections of a killed process in the same way. A
 * complete body is written at once, but a long one would be cut unnoticed for as
 * long as it is being sent, so it is sent in chunks.
 */
export function isCloseDelimited(
  response: ServerResponse,
  received: ReceivedResponse,
  method: string,
): boolean {
  if (!hasBody(received, method)) return false;
  if (contentLength(received, method) !== undefined) return false;
  return (
    received.bodyRest === undefined || !response.useChunkedEncodingByDefault
  );
}

/** Length of the body; `undefined` if the upstream has not determined it. */
function contentLength(
  received: ReceivedResponse,
  method: string,
): string | undefined {
  const announced = findHeader(received.headers, 'content-length');
  if (method === 'HEAD') return announced;
  if (!hasBody(received, method) || received.isUnframed) return undefined;
  if (received.bodyRest !== undefined) return announced;
  return String(received.bodyStart.length);
}

function setConnectionClose(fields: string[]): void {
  for (let index = 0; index + 1 < fields.length; index += 2) {
    if (fields[index] === 'connection') return;
  }
  fields.push('connection', 'close');
}

/**
 * `pipeline` destroys the connection if the body is aborted: a response that
 * merely ended would look complete to a client that expects chunks.
 */
function writeWithBodyRest(
  response: ServerResponse,
  bodyStart: Buffer,
  bodyRest: Readable,
): void {
  response.write(bodyStart);
  pipeline(bodyRest, response, () => undefined);
}

function hasBody(received: ReceivedResponse, method: string): boolean {
  return method !== 'HEAD' && !NO_BODY_STATUS_CODES.has(received.statusCode);
}

const NO_BODY_STATUS_CODES: ReadonlySet<number> = new Set([204, 304]);
