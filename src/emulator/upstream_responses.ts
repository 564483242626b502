/**
 * Complete and partial responses of an emulated upstream.
 */
import {createHash} from 'node:crypto';
import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';
import {FULMARHOLLOW_HEADERS} from '../protocol/fulmarhollow_headers.js';
import type {
  CutPosition,
  UpstreamFault,
  UpstreamRoute,
} from './upstream_config.js';

/** Adds the announcements of an upstream to the response. */
export function setAnnouncements(
  response: ServerResponse,
  {announcedLimit, isLeaving}: UpstreamFault,
): void {
  const {requestLimit, leaving} = FULMARHOLLOW_HEADERS;
  if (announcedLimit !== null) response.setHeader(requestLimit, announcedLimit);
  if (isLeaving) response.setHeader(leaving, '1');
}

/** Sends a response without a body. */
export function sendEmptyResponse(
  response: ServerResponse,
  statusCode: number,
  headers: OutgoingHttpHeaders = {},
): void {
  response.writeHead(statusCode, {...headers, 'content-length': 0}).end();
}

/** Returns the headers of a complete response. */
export function responseHeaders(
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

/** Sends the status line and part of a header, then closes the connection. */
export function sendPartialHeaders(request: IncomingMessage): void {
  const {socket} = request;
  socket.write('HTTP/1.1 200 OK\r\ncontent-ty', () => {
    socket.destroy();
  });
}

/** Sends part of the body, then closes the connection like a crash does. */
export function sendPartialBody(
  response: ServerResponse,
  body: Buffer,
  position: CutPosition,
): void {
  const sentBytes =
    position === 'last-byte' ? body.byteLength - 1 : body.byteLength >> 1;
  response.write(body.subarray(0, sentBytes), () => {
    response.destroy();
  });
}
