/**
 * Remaining body of a long response from the upstream, as a stream.
 *
 * Load pattern: a faulty upstream sends a body in chunks of one byte. The stream of
 * Node.js keeps an object for each of them while a slow reader is waited for; this one
 * joins what arrives together, and stops reading at a limit in bytes.
 */
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import type {GatheredBytes} from '../base/gathered_bytes.js';
import {createGatheredBytes} from '../base/gathered_bytes.js';

/** Bytes that wait for the reader from which the connection is not read. */
const MAX_WAITING_BYTES = 65_536;

/** Takes over a message whose body is being read; the stream ends and fails with it. */
export function createLongBody(message: IncomingMessage): Readable {
  const {socket} = message;
  let waiting: GatheredBytes = createGatheredBytes();
  let isWanted = false;
  let isPassScheduled = false;
  let isPaused = false;
  let hasEnded = false;

  /** Stops or resumes reading the connection, also where Node.js has resumed it. */
  const applyLimit = (): void => {
    const isFull = !hasEnded && waiting.lengthBytes >= MAX_WAITING_BYTES;
    if (isFull) socket.pause();
    else if (isPaused) socket.resume();
    isPaused = isFull;
  };
  const pass = (): void => {
    isPassScheduled = false;
    if (body.destroyed) return;
    if (isWanted && waiting.lengthBytes > 0) {
      const bytes = waiting.take();
      waiting = createGatheredBytes();
      isWanted = body.push(bytes);
    }
    applyLimit();
    if (hasEnded && waiting.lengthBytes === 0) body.push(null);
  };
  /**
   * Once all chunks of this read are there and Node.js has asked for the next one, but
   * before that is read: one turn of the event loop may read many times the limit.
   */
  const schedulePass = (): void => {
    if (isPassScheduled) return;
    isPassScheduled = true;
    queueMicrotask(pass);
  };
  const body = new Readable({
    highWaterMark: MAX_WAITING_BYTES,
    read: () => {
      isWanted = true;
      if (waiting.lengthBytes > 0 || hasEnded) schedulePass();
    },
    destroy: (error, callback) => {
      waiting = createGatheredBytes();
      message.destroy();
      callback(error);
    },
  });
  // The reader may have left before the message fails.
  body.on('error', () => undefined);
  message.on('data', (chunk: Buffer) => {
    waiting.add(chunk);
    schedulePass();
  });
  message.on('end', () => {
    hasEnded = message.complete;
    applyLimit();
    if (hasEnded) schedulePass();
    else body.destroy(new Error('the response was aborted'));
  });
  message.on('error', error => {
    body.destroy(error);
  });
  message.on('close', () => {
    if (!hasEnded) body.destroy(new Error('the response was aborted'));
  });
  return body;
}
