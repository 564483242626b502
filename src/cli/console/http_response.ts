/**
 * Responses of the console and their security headers.
 */
import type * as http from 'node:http';
import type {Html} from './html.js';

/** A complete response. */
export interface HttpResponse {
  readonly statusCode: number;
  readonly contentType: string;
  readonly body: string | Uint8Array;
  /** Sends the body as a download with this file name. */
  readonly fileName?: string;
}

/**
 * Inline scripts and styles are blocked, so that document text that bypassed the
 * escaping has no effect. Framing is forbidden, and forms can be submitted only
 * to the console.
 */
const CONTENT_SECURITY_POLICY = [
  "default-src 'none'",
  "script-src 'self'",
  "style-src 'self'",
  "connect-src 'self'",
  "form-action 'self'",
  'img-src data:',
  "base-uri 'none'",
  "frame-ancestors 'none'",
].join('; ');

/** Headers of every response. */
const COMMON_HEADERS = {
  'content-security-policy': CONTENT_SECURITY_POLICY,
  'x-content-type-options': 'nosniff',
  'x-frame-options': 'DENY',
  'cross-origin-resource-policy': 'same-origin',
  'cross-origin-opener-policy': 'same-origin',
  // The URL contains the access token and must not be sent to other sites.
  'referrer-policy': 'same-origin',
  'cache-control': 'no-store',
} as const;

/** Creates a response with an HTML page. */
export function pageResponse(statusCode: number, page: Html): HttpResponse {
  const contentType = 'text/html; charset=utf-8';
  return {statusCode, contentType, body: page.markup};
}

/** Creates a plain text response. */
export function textResponse(statusCode: number, body: string): HttpResponse {
  return {statusCode, contentType: 'text/plain; charset=utf-8', body};
}

/** Sends a response and ends it. */
export function sendResponse(
  serverResponse: http.ServerResponse,
  response: HttpResponse,
): void {
  const {statusCode, contentType, fileName} = response;
  const body = Buffer.from(response.body);
  serverResponse.writeHead(statusCode, {
    ...COMMON_HEADERS,
    'content-type': contentType,
    'content-length': body.byteLength,
    ...(fileName !== undefined && {
      'content-disposition': `attachment; filename="${fileName}"`,
    }),
  });
  serverResponse.end(body);
}
