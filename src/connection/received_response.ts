/**
 * A received response: complete if it is small, otherwise the beginning of its
 * body and a stream of the remaining body.
 */
import type {IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';
import {createGatheredBytes} from '../base/gathered_bytes.js';
import {createLongBody} from './long_body.js';
import type {RawHeaders} from './raw_headers.js';

/** A response with its body. */
export interface ReceivedResponse {
  readonly statusCode: number;
  readonly headers: RawHeaders;
  /** The complete body, or its beginning. */
  readonly bodyStart: Buffer;
  /**
   * Paused stream of the remaining body; `undefined` if `bodyStart` is
   * complete.
   */
  readonly bodyRest: Readable | undefined;
  /**
   * The upstream sent no length: only the close of its connection marked the
   * end of the body, and a crash closes it in the same way.
   */
  readonly isUnframed: boolean;
}

/**
 * Bodies up to this size are buffered completely, so that a request whose
 * response is aborted can be retried or fail with a clear error.
 */
const MAX_BUFFERED_BYTES = 65_536;

/** Receives the body; rejects if it is aborted before it is buffered. */
export function receiveResponse(
  message: IncomingMessage,
): Promise<ReceivedResponse> {
  return new Promise((resolve, reject) => {
    const body = createGatheredBytes();
    const finish = (bodyRest: Readable | undefined): void => {
      message.removeListener('data', onData);
      message.removeListener('end', onEnd);
      message.removeListener('error', onAborted);
      message.removeListener('close', onAborted);
      resolve({
        statusCode: message.statusCode ?? 0,
        headers: message.rawHeaders,
        bodyStart: body.take(),
        bodyRest,
        isUnframed: isUnframed(message),
      });
    };
    const onData = (chunk: Buffer): void => {
      body.add(chunk);
      if (body.lengthBytes <= MAX_BUFFERED_BYTES) return;
      finish(createLongBody(message));
    };
    const onEnd = (): void => {
      if (message.complete) finish(undefined);
      else onAborted();
    };
    const onAborted = (error?: Error): void => {
      reject(error ?? new Error('the response was aborted'));
    };
    message.on('data', onData);
    message.on('end', onEnd);
    message.on('error', onAborted);
    message.on('close', onAborted);
  });
}

/**
 * Waits until a stream is closed; resolves with true if it was read to its end.
 */
export function waitUntilClosed(stream: Readable): Promise<boolean> {
  if (stream.closed) return Promise.resolve(stream.readableEnded);
  return new Promise(resolve => {
    stream.once('close', () => {
      resolve(stream.readableEnded);
    });
  });
}

/** Whether only the close of the connection marks the end of the body. */
export function isUnframed(message: IncomingMessage): boolean {
  const {headers} = message;
  if (headers['content-length'] !== undefined) return false;
  const codings = parseTransferCodings(headers['transfer-encoding']);
  return codings.at(-1) !== 'chunked';
}

/** Names of the transfer codings, in the order in which they were applied. */
export function parseTransferCodings(
  header: string | undefined,
): readonly string[] {
  if (header === undefined) return [];
  return header.split(',').map(coding => coding.trim().toLowerCase());
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
