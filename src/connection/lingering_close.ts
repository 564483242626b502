/**
 * Closes a connection whose client may not have read all that was sent to it.
 *
 * Bytes that were handed to the operating system wait there for a slow reader. If
 * both directions are closed meanwhile, the system replies to anything that the
 * client still sends with a reset, and the client loses what it has not read. So
 * only the sending side is closed, and what arrives is discarded until the client
 * closes its side (RFC 9112, 9.6).
 */
import type {Socket} from 'node:net';
import {createIntervalTimer} from '../base/lifecycle.js';

/** Limits of a lingering close; beyond them, both directions are closed. */
export interface LingeringCloseLimits {
  readonly nowMillis: () => number;
  /** End of the time for the client; a response that ends may still extend it. */
  readonly endMillis: () => number;
  readonly maxDiscardedBytes: number;
}

const CHECK_INTERVAL_MILLIS = 100;

/** Ends the sending side and closes the connection when the client has closed its side. */
export function closeLingering(
  socket: Socket,
  {nowMillis, endMillis, maxDiscardedBytes}: LingeringCloseLimits,
): void {
  if (socket.destroyed) return;
  const startBytes = socket.bytesRead;
  // A listener for the data would take it from the parser of Node.js, which then
  // no longer resumes a connection that it has paused.
  const check = createIntervalTimer(CHECK_INTERVAL_MILLIS, () => {
    const isLate = nowMillis() >= endMillis();
    const hasSentTooMuch = socket.bytesRead - startBytes > maxDiscardedBytes;
    if (isLate || hasSentTooMuch) socket.destroy();
  });
  socket.once('close', check.dispose);
  socket.end();
  socket.resume();
}
