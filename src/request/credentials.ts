/**
 * Reads the API key of a request (RFC 6750, 2.1).
 */
import type {RawHeaders} from '../connection/raw_headers.js';

/** Credentials of a request, as far as they can be parsed. */
export type Credentials =
  | {readonly kind: 'key'; readonly key: string}
  | {readonly kind: 'none'}
  /** Another scheme, several header fields, or an invalid token. */
  | {readonly kind: 'malformed'};

/** Lower-case name of the credentials header. */
export const CREDENTIALS_HEADER = 'authorization';

/** Longer keys are not hashed, so that a client cannot make a refusal expensive. */
const MAX_KEY_CHARS = 1024;

const BEARER_PATTERN = /^bearer +([A-Za-z0-9\-._~+/]+=*)$/i;

/** Reads raw headers, because parsed headers keep only the first of several fields. */
export function readCredentials(headers: RawHeaders): Credentials {
  let value: string | undefined;
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() !== CREDENTIALS_HEADER) continue;
    if (value !== undefined) return {kind: 'malformed'};
    value = headers[index + 1] ?? '';
  }
  if (value === undefined) return {kind: 'none'};
  const key = BEARER_PATTERN.exec(value)?.[1];
  if (key === undefined || key.length > MAX_KEY_CHARS) {
    return {kind: 'malformed'};
  }
  return {kind: 'key', key};
}
