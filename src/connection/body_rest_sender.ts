/**
 * Sends the remaining body of a long response to the requesting node, no faster
 * than that node consumes it: buffered data for a slow reader takes memory on
 * both nodes.
 */
import type {Readable} from 'node:stream';
import {FRAME_KIND} from '../protocol/hop_frames.js';
import type {FrameConnection} from './frame_connection.js';

/**
 * Bytes in flight to one reader: at 1,000 Mbit/s this covers a round trip of
 * two milliseconds, and the memory of a small node suffices for some hundred
 * readers.
 */
export const BODY_REST_WINDOW_BYTES = 262_144;

/** Sending side of one remaining response body. */
export interface BodyRestSender {
  /** The receiver has consumed this many bytes. */
  extendWindow(bytes: number): void;
  /** Stops sending; the receiver no longer needs the body. */
  stop(): void;
}

export interface BodyRestSenderOptions {
  readonly connection: FrameConnection;
  readonly channelId: number;
  readonly bodyRest: Readable;
  /** Called once, when the body has been sent completely or was aborted. */
  readonly onEnd: () => void;
}

export function startBodyRestSender(
  options: BodyRestSenderOptions,
): BodyRestSender {
  const {connection, channelId, bodyRest} = options;
  let windowBytes = BODY_REST_WINDOW_BYTES;
  let isEnded = false;

  const finish = (): void => {
    if (isEnded) return;
    isEnded = true;
    options.onEnd();
  };
  bodyRest.on('data', (chunk: Buffer) => {
    connection.send(FRAME_KIND.data, channelId, chunk);
    windowBytes -= chunk.length;
    if (windowBytes <= 0) bodyRest.pause();
  });
  bodyRest.on('end', () => {
    if (!isEnded) connection.send(FRAME_KIND.dataEnd, channelId);
    finish();
  });
  bodyRest.on('error', () => {
    // The `close` event that follows notifies the receiver.
  });
  bodyRest.on('close', () => {
    // A stream that closes before its end was aborted and must not look
    // complete.
    if (!isEnded) connection.send(FRAME_KIND.broken, channelId);
    finish();
  });
  bodyRest.resume();
  return {
    extendWindow: bytes => {
      windowBytes += bytes;
      if (windowBytes > 0) bodyRest.resume();
    },
    stop: () => {
      finish();
      bodyRest.destroy();
    },
  };
}
