/**
 * How the peer of a connection ended it.
 *
 * Node.js reports a reset as a normal end if data was received just before it: one read
 * returns the data, and the hang-up of the same poll counts as the end of the stream.
 */
import type {Socket} from 'node:net';
import type {Disposable} from '../base/lifecycle.js';
import {toDisposable} from '../base/lifecycle.js';

export type ConnectionEnd =
  /** The peer has closed its sending side. */
  | 'closed'
  /** The connection was reset; data may be missing. */
  | 'reset';

/** Calls the listener when the connection ends, before other listeners of that event. */
export function onConnectionEnd(
  connection: Socket,
  listener: (end: ConnectionEnd) => void,
): Disposable {
  const onEnd = (): void => {
    listener(hasPeer(connection) ? 'closed' : 'reset');
  };
  connection.prependOnceListener('end', onEnd);
  return toDisposable(() => {
    connection.removeListener('end', onEnd);
  });
}

/**
 * The system knows the peer of a connection until it is closed on both sides, or reset.
 * Node.js caches the address, so it must not have been read before.
 */
function hasPeer(connection: Socket): boolean {
  return connection.remoteAddress !== undefined;
}
