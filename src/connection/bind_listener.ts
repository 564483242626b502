/**
 * Binds the listeners that requests come in by, with one error for all.
 */
import type {AddressInfo, Server} from 'node:net';
import {describeError, TransportError} from '../base/errors.js';
import {formatEndpoint} from '../process/settings/format_endpoint.js';
import type {Endpoint} from '../process/settings/node_settings.js';

/** Connections that the system holds for the process to accept. */
const BACKLOG_COUNT = 1024;

/** Resolves with the port; rejects with step and peer if it is not available. */
export function bindListener(
  server: Server,
  endpoint: Endpoint,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', error => {
      const peer = formatEndpoint(endpoint);
      const message = `Cannot listen on ${peer}: ${describeError(error)}`;
      reject(new TransportError(message, {props: {step: 'listen', peer}}));
    });
    server.listen(endpoint.port, endpoint.address, BACKLOG_COUNT, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/**
 * Resolves once the listeners of this process have taken all connections that
 * the system has accepted for them. A listener that closes before resets those
 * that are left: their clients see a failure where they would have been told to
 * come back, and other nodes don't know whether a request that they sent has run.
 */
export async function acceptPendingConnections(): Promise<void> {
  // The first ends the turn of now, which may be past taking connections; they
  // are taken in the whole turn between the two.
  await endOfTurn();
  await endOfTurn();
}

function endOfTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
