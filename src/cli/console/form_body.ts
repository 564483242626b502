/**
 * Reading of submitted forms from requests, within bounds.
 */
import type * as http from 'node:http';
import {formError} from './form_fields.js';
import {CapacityError, TransportError} from '../../base/errors.js';

/** The largest document as a form takes less than this. */
export const MAX_FORM_BYTES = 4_194_304;

const FORM_TYPE = 'application/x-www-form-urlencoded';

/** Reads all fields; rejects with what is wrong with the form. */
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
      // Read on without keeping: a browser that finds the connection closed
      // while it still sends shows its own error instead of the answer.
      if (sizeBytes <= MAX_FORM_BYTES) chunks.push(chunk);
    }
  } catch (cause) {
    throw new TransportError('The form broke off:', {cause, props});
  }
  if (sizeBytes <= MAX_FORM_BYTES) return Buffer.concat(chunks);
  const message = `The form is larger than ${String(MAX_FORM_BYTES)} bytes.`;
  throw new CapacityError(message, {props});
}

/** Form encoding is plain ASCII, within which UTF-8 is escaped byte by byte. */
function decodeText(bytes: Buffer): string {
  const text = bytes.toString('latin1');
  try {
    decodeURIComponent(text.replaceAll('+', ' '));
  } catch {
    throw formError('its encoding is broken');
  }
  return text;
}
