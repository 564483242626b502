/**
 * Validates the head of a received response.
 *
 * The parser accepts status codes and header names that cannot be written, so that
 * forwarding them fails after the request has ended, and the client would get no
 * response.
 */
import {validateHeaderName, validateHeaderValue} from 'node:http';
import type {RawHeaders} from './raw_headers.js';

/** Status code and headers of a response. */
export interface ResponseHead {
  readonly statusCode: number;
  readonly headers: RawHeaders;
}

/** Status codes of final responses (RFC 9110, 15). */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** Whether this is the valid head of a final response. */
export function isFinalResponseHead({
  statusCode,
  headers,
}: ResponseHead): boolean {
  if (statusCode < MIN_FINAL_STATUS || statusCode > MAX_FINAL_STATUS) {
    return false;
  }
  return canWriteHeaders(headers);
}

function canWriteHeaders(headers: RawHeaders): boolean {
  try {
    for (let index = 0; index + 1 < headers.length; index += 2) {
      const name = headers[index] ?? '';
      validateHeaderName(name);
      validateHeaderValue(name, headers[index + 1] ?? '');
    }
    return true;
  } catch {
    // The validators report an invalid header only by an error.
    return false;
  }
}
