/**
 * An answer as received: whole if it is small, or its beginning and the stream
 * of the rest.
 */
import type {IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';
import type {RawHeaders} from './raw_headers.js';

/** An answer with its body. */
export interface ReceivedResponse {
  readonly statusCode: number;
  readonly headers: RawHeaders;
  /** The whole body, or its beginning. */
  readonly bodyStart: Buffer;
  /** The rest of the body, paused; `undefined` if `start` is all of it. */
  readonly bodyRest: Readable | undefined;
  /**
   * The upstream sent no length: the end of its connection was the only sign
   * that the body is complete, and may as well be that of a crash.
   */
  readonly isUnframed: boolean;
}

/**
 * Bodies up to this size are held until complete, so that one that breaks off
 * can be repeated or be answered with a clear failure.
 */
const WHOLE_BYTES = 65_536;

/** Receives the body; rejects if it breaks off before it is held. */
export function receiveResponse(
  message: IncomingMessage,
): Promise<ReceivedResponse> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const finish = (bodyRest: Readable | undefined): void => {
      message.removeListener('data', onData);
      message.removeListener('end', onEnd);
      message.removeListener('error', onBroken);
      message.removeListener('close', onBroken);
      resolve({
        statusCode: message.statusCode ?? 0,
        headers: message.rawHeaders,
        bodyStart: Buffer.concat(chunks),
        bodyRest,
        isUnframed: isUnframed(message),
      });
    };
    const onData = (chunk: Buffer): void => {
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes <= WHOLE_BYTES) return;
      message.pause();
      finish(message);
    };
    const onEnd = (): void => {
      if (message.complete) finish(undefined);
      else onBroken();
    };
    const onBroken = (error?: Error): void => {
      reject(error ?? new Error('the answer broke off'));
    };
    message.on('data', onData);
    message.on('end', onEnd);
    message.on('error', onBroken);
    message.on('close', onBroken);
  });
}

/** Waits until a rest is closed; true if it was read to its end. */
export function waitUntilClosed(rest: Readable): Promise<boolean> {
  if (rest.closed) return Promise.resolve(rest.readableEnded);
  return new Promise(resolve => {
    rest.once('close', () => {
      resolve(rest.readableEnded);
    });
  });
}

function isUnframed(message: IncomingMessage): boolean {
  const {headers} = message;
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/** Value of a header; `undefined` if absent. */
export function findHeader(
  headers: RawHeaders,
  lowerName: string,
): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === lowerName) return headers[index + 1];
  }
  return undefined;
}
