/**
 * Binds the listeners for incoming requests, with a uniform error.
 */
import type {AddressInfo, Server} from 'node:net';
import {describeError, TransportError} from '../base/errors.js';
import {formatEndpoint} from '../process/settings/format_endpoint.js';
import type {Endpoint} from '../process/settings/node_settings.js';

/** Maximum number of connections that wait to be accepted by the process. */
const BACKLOG_COUNT = 1024;

/**
 * Resolves with the port; rejects with a `TransportError` that names step and
 * endpoint if the endpoint is unavailable.
 */
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
 * Resolves once the listeners of this process have accepted all connections
 * that are in the backlog of the operating system. Closing a listener earlier
 * resets those connections: clients would see a failure instead of a response
 * that lets them retry, and other nodes could not determine whether a request
 * that they sent has run.
 */
export async function acceptPendingConnections(): Promise<void> {
  // The current event loop turn may already be past accepting connections; the
  // complete turn after it accepts them.
  await endOfEventLoopTurn();
  await endOfEventLoopTurn();
}

function endOfEventLoopTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
