/**
 * Remaining body of a long response from another node, as a stream with
 * backpressure.
 */
import {Readable} from 'node:stream';
import {TransportError} from '../base/errors.js';
import {BODY_REST_WINDOW_BYTES} from './body_rest_sender.js';

/** Receiving side of one remaining response body. */
export interface ReceivedBodyRest {
  readonly stream: Readable;
  push(chunk: Buffer): void;
  /** The body is complete. */
  end(): void;
  /** The body was aborted. */
  fail(reason: string): void;
}

export interface ReceivedBodyRestOptions {
  /** Lets the sender send as many further bytes as were read. */
  readonly extendWindow: (bytes: number) => void;
  /** The reader closed the stream before the end. */
  readonly onAbandoned: () => void;
}

/** Minimum size of a window update; each update costs one frame. */
const WINDOW_UPDATE_BYTES = BODY_REST_WINDOW_BYTES / 4;

/** Creates the stream of a remaining response body. */
export function createReceivedBodyRest(
  options: ReceivedBodyRestOptions,
): ReceivedBodyRest {
  let pushedBytes = 0;
  let grantedBytes = 0;
  let isComplete = false;

  const updateWindow = (): void => {
    const readBytes = pushedBytes - stream.readableLength;
    if (readBytes - grantedBytes < WINDOW_UPDATE_BYTES) return;
    options.extendWindow(readBytes - grantedBytes);
    grantedBytes = readBytes;
  };
  const stream = new Readable({
    // Called before the bytes that are being read have left the buffer.
    read: () => {
      process.nextTick(updateWindow);
    },
    destroy: (error, callback) => {
      if (!isComplete) options.onAbandoned();
      callback(error);
    },
  });
  // If the reader has closed the stream, the error needs no handling.
  stream.on('error', () => undefined);
  return {
    stream,
    push: chunk => {
      if (isComplete || stream.destroyed) return;
      pushedBytes += chunk.length;
      stream.push(chunk);
    },
    end: () => {
      if (isComplete || stream.destroyed) return;
      isComplete = true;
      stream.push(null);
    },
    fail: reason => {
      if (isComplete || stream.destroyed) return;
      isComplete = true;
      const message = `The response body was aborted: ${reason}`;
      stream.destroy(new TransportError(message, {props: {step: 'read-rest'}}));
    },
  };
}
