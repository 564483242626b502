/**
 * Reads submitted forms from requests, up to a maximum size.
 */
import type * as http from 'node:http';
import {formError} from './form_fields.js';
import {CapacityError, TransportError} from '../../base/errors.js';

/** Exceeds the size of the largest document encoded as a form. */
export const MAX_FORM_BYTES = 4_194_304;

const FORM_TYPE = 'application/x-www-form-urlencoded';

/**
 * Reads all fields. Rejects with `InvalidInputError` for another type or
 * encoding, `CapacityError` for a form that is too large and `TransportError`
 * for one that is incomplete.
 */
export async function readFormBody(
  request: http.IncomingMessage,
): Promise<URLSearchParams> {
  const [contentType = ''] = (request.headers['content-type'] ?? '').split(';');
  if (contentType.trim().toLowerCase() !== FORM_TYPE) {
    throw formError(`its type is not ${FORM_TYPE}`);
  }
  const text = decodeText(await readBodyBytes(request));
  return new URLSearchParams(text);
}

async function readBodyBytes(request: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  const props = {step: 'read-form', peer: 'browser'};
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      sizeBytes += chunk.byteLength;
      // Reads and discards the rest: if the connection is closed while the
      // browser sends, it shows its own error instead of the response.
      if (sizeBytes <= MAX_FORM_BYTES) chunks.push(chunk);
    }
  } catch (cause) {
    throw new TransportError('The form is incomplete:', {cause, props});
  }
  if (sizeBytes <= MAX_FORM_BYTES) return Buffer.concat(chunks);
  const message = `The form is larger than ${String(MAX_FORM_BYTES)} bytes.`;
  throw new CapacityError(message, {props});
}

/** Form encoding is ASCII with percent-encoded UTF-8; throws if it is invalid. */
function decodeText(bytes: Buffer): string {
  const text = bytes.toString('latin1');
  try {
    decodeURIComponent(text.replaceAll('+', ' '));
  } catch {
    throw formError('its encoding is invalid');
  }
  return text;
}
