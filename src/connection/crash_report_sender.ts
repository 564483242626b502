/**
 * Sends crash reports to other nodes, each on its own connection.
 *
 * On a connection shared with requests, reports would prevent the idle timeout,
 * and requests sent on it would wait for a node behind a network partition.
 */
import type {Endpoint} from '../process/settings/node_settings.js';
import {FRAME_KIND} from '../protocol/hop_frames.js';
import {openFrameConnection} from './frame_connection.js';

/** Timeout of one exchange; a reachable node responds within milliseconds. */
const EXCHANGE_TIMEOUT_MILLIS = 400;

const noop = (): void => undefined;

/** Sends a report; the receiver may respond with a report of its own. */
export function sendCrashReport(
  peer: Endpoint,
  report: Buffer,
  onResponse: (report: Buffer) => void,
): void {
  const connection = openFrameConnection(peer, {
    onConnected: noop,
    onDataReceived: noop,
    onFrame: ({kind, payload}) => {
      if (kind === FRAME_KIND.crashes) onResponse(payload);
      // Response to the ping below; it follows the response to the report, if
      // any.
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
