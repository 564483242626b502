/**
 * Sends the body of a request to another node in frames.
 */
import {FRAME_KIND} from '../protocol/hop_frames.js';
import type {FrameConnection} from './frame_connection.js';

/** Body bytes per frame. */
const BODY_CHUNK_BYTES = 65_536;

/** Sends the whole body; the last frame ends it. */
export function sendBody(
  connection: FrameConnection,
  channelId: number,
  body: Buffer,
): void {
  let offset = 0;
  while (body.length - offset > BODY_CHUNK_BYTES) {
    const chunk = body.subarray(offset, offset + BODY_CHUNK_BYTES);
    connection.send(FRAME_KIND.body, channelId, chunk);
    offset += BODY_CHUNK_BYTES;
  }
  connection.send(FRAME_KIND.bodyEnd, channelId, body.subarray(offset));
}
