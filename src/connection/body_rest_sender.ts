/**
 * Sends the rest of a long answer to the node that asked for it, no faster than
 * that node passes it on: what is held for a slow reader counts in the memory
 * of both nodes.
 */
import type {Readable} from 'node:stream';
import {FRAME_KIND} from '../protocol/hop_frames.js';
import type {FrameConnection} from './frame_connection.js';

/**
 * Bytes under way to one reader: at 1,000 Mbit/s this covers a round trip of
 * two milliseconds, and at some hundred readers stays within a small node.
 */
export const BODY_REST_WINDOW_BYTES = 262_144;

/** Sending side of one rest. */
export interface BodyRestSender {
  /** The other side has passed on so many bytes. */
  extendWindow(bytes: number): void;
  /** The rest is no longer wanted. */
  stop(): void;
}

/** What a sender needs. */
export interface BodyRestSenderOptions {
  readonly connection: FrameConnection;
  readonly channelId: number;
  readonly bodyRest: Readable;
  /** Called once, when all has been sent or it broke off. */
  readonly onEnd: () => void;
}

/** Starts sending. */
export function startBodyRestSender(
  options: BodyRestSenderOptions,
): BodyRestSender {
  const {connection, channelId, bodyRest} = options;
  let windowBytes = BODY_REST_WINDOW_BYTES;
  let isEnded = false;

  const end = (): void => {
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
    end();
  });
  bodyRest.on('error', () => {
    // The close that follows informs the receiver.
  });
  bodyRest.on('close', () => {
    // A rest that closes before its end broke off, and must not look complete.
    if (!isEnded) connection.send(FRAME_KIND.broken, channelId);
    end();
  });
  bodyRest.resume();
  return {
    extendWindow: bytes => {
      windowBytes += bytes;
      if (windowBytes > 0) bodyRest.resume();
    },
    stop: () => {
      end();
      bodyRest.destroy();
    },
  };
}
