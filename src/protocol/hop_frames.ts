/**
 * Frames between two nodes: a kind, a channel and a payload.
 *
 * One connection carries many requests at once, each on a channel of its own.
 * A message of HTTP for each of them costs both nodes several times as much
 * processor time as the decisions made about it.
 */
import {TransportError} from '../base/errors.js';

/** Kinds of frames; the numbers are those on the wire. */
export const FRAME_KIND = {
  /** Identity of the process, first on each connection. */
  hello: 1,
  /** Header of a request, with its body unless that is held back. */
  request: 2,
  /** A slot is held: the body may follow. */
  bodyWanted: 3,
  /** A piece of a body, and its last one. */
  body: 4,
  bodyEnd: 5,
  /** What came of a request, with the body or its beginning. */
  answer: 6,
  /** A piece of the rest of an answer, its end, and an end before its time. */
  data: 7,
  dataEnd: 8,
  broken: 9,
  /** The sender no longer waits for the channel. */
  cancel: 10,
  /** Bytes of the rest that the receiver has passed on. */
  window: 11,
  /** Asks for a sign of life; with a payload, for loads, changes, crashes or quotas as well. */
  ping: 12,
  /** The sign, with loads if they were asked for. */
  pong: 13,
  /** Asks for a request whose connection was lost, and what is known of it. */
  claim: 14,
  claimed: 15,
  /** The process ends: nothing new, and the sender ends the connection. */
  goingAway: 16,
  /** Changes of the published documents that were asked for. */
  changes: 17,
  /** Crashes of upstreams that the asking node lacks. */
  crashes: 18,
  /** What the coordinator of quotas answers to a report. */
  quotas: 19,
} as const;

/** Kind of a frame. */
export type FrameKind = (typeof FRAME_KIND)[keyof typeof FRAME_KIND];

/** One frame as received. */
export interface Frame {
  readonly kind: number;
  /** 0 for what concerns the connection. */
  readonly channelId: number;
  readonly payload: Buffer;
}

/** Length of the payload, kind, channel. */
const HEADER_BYTES = 9;
const KIND_OFFSET = 4;
const CHANNEL_OFFSET = 5;

/** Bound on one payload: pieces of bodies are far smaller, headers are bounded. */
const MAX_PAYLOAD_BYTES = 2_097_152;

/** Writes one frame. */
export function encodeFrame(
  kind: FrameKind,
  channelId: number,
  parts: readonly Buffer[],
): Buffer {
  let payloadBytes = 0;
  for (const part of parts) payloadBytes += part.length;
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payloadBytes);
  frame.writeUInt32BE(payloadBytes, 0);
  frame.writeUInt8(kind, KIND_OFFSET);
  frame.writeUInt32BE(channelId, CHANNEL_OFFSET);
  let offset = HEADER_BYTES;
  for (const part of parts) offset += part.copy(frame, offset);
  return frame;
}

/** Cuts a stream of bytes into frames. */
export interface FrameReader {
  /** Takes the next bytes; throws if they are no frames. */
  push(chunk: Buffer): void;
}

/** Creates a reader at the beginning of a connection. */
export function createFrameReader(
  onFrame: (frame: Frame) => void,
): FrameReader {
  let chunks: Buffer[] = [];
  let heldBytes = 0;
  let neededBytes = HEADER_BYTES;

  return {
    push: chunk => {
      chunks.push(chunk);
      heldBytes += chunk.length;
      // A payload that comes in many pieces is joined once.
      if (heldBytes < neededBytes) return;
      const bytes = chunks.length === 1 ? chunk : Buffer.concat(chunks);
      const rest = readFrames(bytes, onFrame);
      chunks = rest.length > 0 ? [rest] : [];
      heldBytes = rest.length;
      neededBytes = frameBytes(rest) ?? HEADER_BYTES;
    },
  };
}

/** Reads all whole frames and returns the bytes after them. */
function readFrames(bytes: Buffer, onFrame: (frame: Frame) => void): Buffer {
  let offset = 0;
  for (;;) {
    const left = bytes.subarray(offset);
    const length = frameBytes(left);
    if (length === undefined || left.length < length) return left;
    onFrame({
      kind: left.readUInt8(KIND_OFFSET),
      channelId: left.readUInt32BE(CHANNEL_OFFSET),
      payload: left.subarray(HEADER_BYTES, length),
    });
    offset += length;
  }
}

/** Length of the frame that begins here; `undefined` before its header is in. */
function frameBytes(bytes: Buffer): number | undefined {
  if (bytes.length < HEADER_BYTES) return undefined;
  const payloadBytes = bytes.readUInt32BE(0);
  if (payloadBytes > MAX_PAYLOAD_BYTES) {
    throw new TransportError(
      `A frame of ${String(payloadBytes)} bytes exceeds the bound`,
      {props: {step: 'read-frame'}},
    );
  }
  return HEADER_BYTES + payloadBytes;
}
