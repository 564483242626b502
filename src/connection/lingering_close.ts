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

/** Limits of a lingering close. */
export interface LingeringCloseLimits {
  /** Time after which the connection is closed in both directions. */
  readonly timeoutMillis: number;
  /** Number of received bytes after which it is. */
  readonly maxDiscardedBytes: number;
}

const CHECK_INTERVAL_MILLIS = 100;

/** Ends the sending side and closes the connection when the client has closed its side. */
export function closeLingering(
  socket: Socket,
  {timeoutMillis, maxDiscardedBytes}: LingeringCloseLimits,
): void {
  if (socket.destroyed) return;
  const startBytes = socket.bytesRead;
  const timer = setTimeout(() => {
    socket.destroy();
  }, timeoutMillis);
  // A listener for the data would take it from the parser of Node.js, which then
  // no longer resumes a connection that it has paused.
  const check = createIntervalTimer(CHECK_INTERVAL_MILLIS, () => {
    if (socket.bytesRead - startBytes > maxDiscardedBytes) socket.destroy();
  });
  socket.once('close', () => {
    clearTimeout(timer);
    check.dispose();
  });
  socket.end();
  socket.resume();
}
