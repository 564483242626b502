/**
 * Checks whether a process still listens at an address.
 */
import {connect} from 'node:net';
import type {Endpoint} from '../process/settings/node_settings.js';

/** Result of a connection attempt. */
export type ProbeResult =
  | 'accepted'
  /** No process listens at the address. */
  | 'refused'
  /** No reply in time. */
  | 'silent';

/** Reply timeout; connecting within one host takes about a millisecond. */
const PROBE_TIMEOUT_MILLIS = 300;

const REFUSED_CODE = 'ECONNREFUSED';

/** Opens a connection and closes it immediately without sending anything. */
export function probeUpstream({address, port}: Endpoint): Promise<ProbeResult> {
  return new Promise(resolve => {
    const socket = connect({host: address, port});
    const finish = (result: ProbeResult): void => {
      socket.destroy();
      resolve(result);
    };
    socket.setTimeout(PROBE_TIMEOUT_MILLIS, () => {
      finish('silent');
    });
    socket.once('connect', () => {
      finish('accepted');
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === REFUSED_CODE ? 'refused' : 'silent');
    });
  });
}
