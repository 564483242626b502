/**
 * Restricts the console to requests with its access token that come from its own
 * pages.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import type * as http from 'node:http';

/** An accepted request, or the response to a rejected one. */
export type GuardResult =
  | {
      readonly kind: 'passed';
      /** Requested page, without the token; empty for the start page. */
      readonly page: string;
    }
  | {
      readonly kind: 'refused';
      readonly statusCode: number;
      readonly message: string;
    };

/** Expected token and port. */
export interface GuardOptions {
  readonly token: string;
  readonly port: number;
}

/** Checks host, token and origin of a request. */
export function checkRequest(
  request: http.IncomingMessage,
  {token, port}: GuardOptions,
): GuardResult {
  const hosts = ['127.0.0.1', 'localhost'].map(
    name => `${name}:${String(port)}`,
  );
  // Prevents DNS rebinding: another site can resolve its own name to 127.0.0.1
  // and read the responses, but the header contains that name.
  if (!hosts.includes(request.headers.host ?? '')) {
    return refuse(403, 'Not a host name of this console.');
  }
  const [path = ''] = (request.url ?? '').split('?');
  const [, givenToken = '', ...rest] = path.split('/');
  if (!isEqualInConstantTime(givenToken, token) || rest.length !== 1) {
    return refuse(404, 'No such page. Open the address that was printed.');
  }
  if (request.method === 'POST' && !isSameOrigin(request.headers, hosts)) {
    return refuse(403, 'Sent by a page of another origin.');
  }
  return {kind: 'passed', page: rest[0] ?? ''};
}

/** Checks the headers that browsers send with forms; other clients send none. */
function isSameOrigin(
  headers: http.IncomingHttpHeaders,
  hosts: readonly string[],
): boolean {
  const {origin} = headers;
  const site = headers['sec-fetch-site'];
  if (site !== undefined && site !== 'same-origin') return false;
  if (origin === undefined) return true;
  return hosts.some(host => origin === `http://${host}`);
}

/** Compares in constant time, so that response times reveal no part of a token. */
function isEqualInConstantTime(a: string, b: string): boolean {
  return timingSafeEqual(digest(a), digest(b));
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

function refuse(statusCode: number, message: string): GuardResult {
  return {kind: 'refused', statusCode, message};
}
