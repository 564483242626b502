/**
 * Reads the complete body of a request, up to a maximum size.
 */
import type {IncomingMessage} from 'node:http';
import {createGatheredBytes} from '../base/gathered_bytes.js';

/** Result of reading a body. */
export type BodyReadResult =
  | {readonly kind: 'whole'; readonly bytes: Buffer}
  | {readonly kind: 'too-large'}
  | {readonly kind: 'broken'};

const EMPTY: BodyReadResult = {kind: 'whole', bytes: Buffer.alloc(0)};

/** Whether the headers of a request announce a body. */
export function hasBody(request: IncomingMessage): boolean {
  const length = request.headers['content-length'];
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  return isChunked || (length !== undefined && length !== '0');
}

/**
 * Reads until the end of the body, `maxBytes`, or the disconnect of the client.
 */
export function readRequestBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<BodyReadResult> {
  if (!hasBody(request)) {
    request.resume();
    return Promise.resolve(EMPTY);
  }
  if (Number(request.headers['content-length']) > maxBytes) {
    return Promise.resolve({kind: 'too-large'});
  }
  return collect(request, maxBytes);
}

function collect(
  request: IncomingMessage,
  maxBytes: number,
): Promise<BodyReadResult> {
  return new Promise(resolve => {
    const body = createGatheredBytes();
    request.on('data', (chunk: Buffer) => {
      if (body.lengthBytes + chunk.length <= maxBytes) body.add(chunk);
      else resolve({kind: 'too-large'});
    });
    request.on('end', () => {
      resolve({kind: 'whole', bytes: body.take()});
    });
    request.on('error', () => {
      resolve({kind: 'broken'});
    });
    request.on('close', () => {
      resolve({kind: 'broken'});
    });
  });
}
