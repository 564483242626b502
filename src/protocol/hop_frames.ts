/**
 * Frames between two nodes: kind, channel id and payload.
 *
 * Requests are multiplexed over one connection, each on its own channel. One
 * HTTP message per request would cost both nodes several times the CPU time of
 * the admission and routing decisions.
 */
import {TransportError} from '../base/errors.js';

/** Frame kinds; the numbers are the values on the wire. */
export const FRAME_KIND = {
  /** Instance id of the process; first frame on each connection. */
  hello: 1,
  /** Request header, with the body unless the body is deferred. */
  request: 2,
  /** A slot is reserved; the sender may send the body. */
  bodyWanted: 3,
  /** A chunk of the request body, and the last one. */
  body: 4,
  bodyEnd: 5,
  /** Result of a request, with the response body or its beginning. */
  answer: 6,
  /** A chunk of the remaining response body, its end, and its abort. */
  data: 7,
  dataEnd: 8,
  broken: 9,
  /** The sender no longer waits for a response on the channel. */
  cancel: 10,
  /** Number of response body bytes that the receiver has consumed. */
  window: 11,
  /**
   * Keep-alive probe; its payload, if any, queries loads, changes, crashes or
   * quotas.
   */
  ping: 12,
  /** Response to a ping, with loads if they were queried. */
  pong: 13,
  /**
   * Resumes a request whose connection was lost; the reply is its claim state.
   */
  claim: 14,
  claimed: 15,
  /**
   * The process is stopping: the peer must send no new requests, and closes the
   * connection once it has none in flight.
   */
  goingAway: 16,
  /** Response to a query for changes of the published documents. */
  changes: 17,
  /** Crashes that are missing at the node that sent a crash report. */
  crashes: 18,
  /** Response of the quota coordinator to a quota report. */
  quotas: 19,
  /**
   * A chunk of the request body has arrived. While a long body is under way,
   * the sender has no other sign that the connection is slow rather than lost.
   */
  bodyReceived: 20,
  /**
   * The upstream may have ended; the request stays in progress. Ignored by nodes that do
   * not know it.
   */
  suspected: 21,
} as const;

export type FrameKind = (typeof FRAME_KIND)[keyof typeof FRAME_KIND];

/** A received frame. */
export interface Frame {
  readonly kind: number;
  /** 0 for frames that concern the whole connection. */
  readonly channelId: number;
  readonly payload: Buffer;
}

/** Payload length, kind and channel id. */
const HEADER_BYTES = 9;
const KIND_OFFSET = 4;
const CHANNEL_OFFSET = 5;

/** Maximum payload; body chunks are far smaller, and headers are bounded. */
const MAX_PAYLOAD_BYTES = 2_097_152;

/** Encodes one frame. */
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

/** Splits a byte stream into frames. */
export interface FrameReader {
  /**
   * Processes the next bytes; throws a `TransportError` if they are not frames.
   */
  push(chunk: Buffer): void;
}

/** Creates a reader for the start of a connection. */
export function createFrameReader(
  onFrame: (frame: Frame) => void,
): FrameReader {
  let chunks: Buffer[] = [];
  let bufferedBytes = 0;
  let neededBytes = HEADER_BYTES;

  return {
    push: chunk => {
      chunks.push(chunk);
      bufferedBytes += chunk.length;
      // Chunks are concatenated once per frame, not once per chunk.
      if (bufferedBytes < neededBytes) return;
      const bytes = chunks.length === 1 ? chunk : Buffer.concat(chunks);
      const remainder = readFrames(bytes, onFrame);
      chunks = remainder.length > 0 ? [remainder] : [];
      bufferedBytes = remainder.length;
      neededBytes = frameLengthBytes(remainder) ?? HEADER_BYTES;
    },
  };
}

/** Reads all complete frames and returns the remaining bytes. */
function readFrames(bytes: Buffer, onFrame: (frame: Frame) => void): Buffer {
  let offset = 0;
  for (;;) {
    const tail = bytes.subarray(offset);
    const length = frameLengthBytes(tail);
    if (length === undefined || tail.length < length) return tail;
    onFrame({
      kind: tail.readUInt8(KIND_OFFSET),
      channelId: tail.readUInt32BE(CHANNEL_OFFSET),
      payload: tail.subarray(HEADER_BYTES, length),
    });
    offset += length;
  }
}

/** Length of the next frame; `undefined` until its header has been received. */
function frameLengthBytes(bytes: Buffer): number | undefined {
  if (bytes.length < HEADER_BYTES) return undefined;
  const payloadBytes = bytes.readUInt32BE(0);
  if (payloadBytes > MAX_PAYLOAD_BYTES) {
    throw new TransportError(
      `A frame of ${String(payloadBytes)} bytes exceeds the maximum frame payload`,
      {props: {step: 'read-frame'}},
    );
  }
  return HEADER_BYTES + payloadBytes;
}
