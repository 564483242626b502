/**
 * Answers of the console and the headers that keep other pages out.
 */
import type * as http from 'node:http';
import type {Html} from './html.js';

/** One complete answer. */
export interface HttpResponse {
  readonly statusCode: number;
  readonly contentType: string;
  readonly body: string | Uint8Array;
  /** Offers the body as a file of this name instead of showing it. */
  readonly fileName?: string;
}

/**
 * No script or style within a page is run, so that text of a document that got
 * past the escapes would still do nothing; nothing may frame the pages, and no
 * form can send what was entered elsewhere.
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

/** On every answer. */
const COMMON_HEADERS = {
  'content-security-policy': CONTENT_SECURITY_POLICY,
  'x-content-type-options': 'nosniff',
  'x-frame-options': 'DENY',
  'cross-origin-resource-policy': 'same-origin',
  'cross-origin-opener-policy': 'same-origin',
  // The address holds the token and must not reach other sites.
  'referrer-policy': 'same-origin',
  'cache-control': 'no-store',
} as const;

/** A page. */
export function pageResponse(statusCode: number, page: Html): HttpResponse {
  const contentType = 'text/html; charset=utf-8';
  return {statusCode, contentType, body: page.markup};
}

/** Text without markup. */
export function textResponse(statusCode: number, body: string): HttpResponse {
  return {statusCode, contentType: 'text/plain; charset=utf-8', body};
}

/** Sends an answer whole. */
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
