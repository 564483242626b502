/**
 * Sends reports of crashes to other nodes, each on a connection of its own.
 *
 * A connection that requests share would be kept open by the reports, and requests
 * sent on it would wait for a node that a partition has silenced.
 */
import type {Endpoint} from '../process/settings/node_settings.js';
import {FRAME_KIND} from '../protocol/hop_frames.js';
import {openFrameConnection} from './frame_connection.js';

/** Bound on one exchange; a node that is reachable answers within milliseconds. */
const EXCHANGE_TIMEOUT_MILLIS = 400;

const NOTHING = (): void => undefined;

/** Sends a report; the receiver may answer it with one of its own. */
export function sendCrashReport(
  peer: Endpoint,
  report: Buffer,
  onAnswer: (report: Buffer) => void,
): void {
  const connection = openFrameConnection(peer, {
    onConnected: NOTHING,
    onDataReceived: NOTHING,
    onFrame: ({kind, payload}) => {
      if (kind === FRAME_KIND.crashes) onAnswer(payload);
      // The answer to the ping, behind that to the report if there is one.
      if (kind === FRAME_KIND.pong) connection.end();
    },
    onClosed: () => {
      clearTimeout(timer);
    },
  });
  const timer = setTimeout(connection.destroy, EXCHANGE_TIMEOUT_MILLIS);
  timer.unref();
  connection.send(FRAME_KIND.ping, 0, report);
  connection.send(FRAME_KIND.ping, 0);
}
