/**
 * Answers of a stand-in for an upstream, whole ones and ones that break off.
 */
import {createHash} from 'node:crypto';
import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';
import type {CutPosition, UpstreamRoute} from './upstream_config.js';

/** Answers without a body. */
export function sendPlain(
  response: ServerResponse,
  statusCode: number,
  headers: OutgoingHttpHeaders = {},
): void {
  response.writeHead(statusCode, {...headers, 'content-length': 0}).end();
}

/** Headers of a whole answer. */
export function answerHeaders(
  route: UpstreamRoute,
  body: Buffer,
): OutgoingHttpHeaders {
  const headers: OutgoingHttpHeaders = {
    'content-type': 'application/octet-stream',
  };
  if (route.hasDigest === true) {
    const digest = createHash('sha256').update(body).digest('base64');
    headers['content-digest'] = `sha-256=:${digest}:`;
  }
  if (route.isChunked === true) headers['transfer-encoding'] = 'chunked';
  else headers['content-length'] = body.byteLength;
  return headers;
}

/** Breaks off within the status line and headers. */
export function cutHeaders(request: IncomingMessage): void {
  const {socket} = request;
  socket.write('HTTP/1.1 200 OK\r\ncontent-ty', () => {
    socket.destroy();
  });
}

/** Breaks off within the body, as an upstream that dies would. */
export function cutBody(
  response: ServerResponse,
  body: Buffer,
  position: CutPosition,
): void {
  const keptBytes =
    position === 'last-byte' ? body.byteLength - 1 : body.byteLength >> 1;
  response.write(body.subarray(0, keptBytes), () => {
    response.destroy();
  });
}
