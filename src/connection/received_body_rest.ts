/**
 * The rest of a long answer as it comes from another node, as a stream that
 * asks for more only as fast as it is read.
 */
import {Readable} from 'node:stream';
import {TransportError} from '../base/errors.js';
import {BODY_REST_WINDOW_BYTES} from './body_rest_sender.js';

/** Receiving side of one rest. */
export interface ReceivedBodyRest {
  readonly stream: Readable;
  push(chunk: Buffer): void;
  /** All has come. */
  end(): void;
  /** The rest broke off. */
  fail(reason: string): void;
}

/** What it needs. */
export interface ReceivedBodyRestOptions {
  /** Grants the sender as many bytes as were read. */
  readonly extendWindow: (bytes: number) => void;
  /** The reader left before the end. */
  readonly onAbandoned: () => void;
}

/** Bytes that are granted at once; each grant costs a frame. */
const GRANT_BYTES = BODY_REST_WINDOW_BYTES / 4;

/** Creates the stream of a rest. */
export function createReceivedBodyRest(
  options: ReceivedBodyRestOptions,
): ReceivedBodyRest {
  let pushedBytes = 0;
  let grantedBytes = 0;
  let isComplete = false;

  const grantWhatWasRead = (): void => {
    const readBytes = pushedBytes - stream.readableLength;
    if (readBytes - grantedBytes < GRANT_BYTES) return;
    options.extendWindow(readBytes - grantedBytes);
    grantedBytes = readBytes;
  };
  const stream = new Readable({
    // Called before the bytes that are being read have left the stream.
    read: () => {
      process.nextTick(grantWhatWasRead);
    },
    destroy: (error, callback) => {
      if (!isComplete) options.onAbandoned();
      callback(error);
    },
  });
  // If the reader has left, the error needs no handling.
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
      const message = `The rest of an answer broke off: ${reason}`;
      stream.destroy(new TransportError(message, {props: {step: 'read-rest'}}));
    },
  };
}
