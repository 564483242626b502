/**
 * Who may use the console: only the pages it served itself, opened by the
 * address that it printed.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import type * as http from 'node:http';

/** A request that passed, or the status it is refused with. */
export type GuardResult =
  | {
      readonly kind: 'passed';
      /** Page asked for, without the token; empty for the start page. */
      readonly page: string;
    }
  | {
      readonly kind: 'refused';
      readonly statusCode: number;
      readonly message: string;
    };

/** What requests are held against. */
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
  // A page elsewhere can have its own name resolve to 127.0.0.1 and then read
  // the answers as its own; its name still stands in the header.
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

/** Browsers tell where a form comes from; other clients send neither header. */
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

/** Takes the same time whatever differs, so that a token cannot be searched. */
function isEqualInConstantTime(a: string, b: string): boolean {
  return timingSafeEqual(digest(a), digest(b));
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

function refuse(statusCode: number, message: string): GuardResult {
  return {kind: 'refused', statusCode, message};
}
