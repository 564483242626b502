/**
 * A client that writes requests when a test says so: ahead of the answers, or
 * long after it connected.
 */
import {once} from 'node:events';
import net from 'node:net';
import type {ExecutionContext} from 'ava';
import {FLEET_HOST_NAME} from './fleet_client.js';

/** One connection of such a client. */
export interface RawClient {
  /** All bytes that came. */
  readonly received: string;
  /** Status codes of the answers, in the order in which they came. */
  readonly statusCodes: readonly number[];
  readonly isClosed: boolean;
  /** Writes a request without a body, with further header lines if given. */
  sendRequest(attemptId: string, path: string, lines?: readonly string[]): void;
}

/** Connects; closes with the test. */
export async function connectRawClient(
  t: ExecutionContext,
  address: string,
  port: number,
): Promise<RawClient> {
  const socket = net.connect(port, address);
  let received = '';
  let isClosed = false;
  socket.on('data', chunk => {
    received += chunk.toString('latin1');
  });
  socket.on('error', () => undefined);
  socket.on('close', () => {
    isClosed = true;
  });
  await once(socket, 'connect');
  t.teardown(() => socket.destroy());
  return {
    get received() {
      return received;
    },
    get statusCodes() {
      return [...received.matchAll(/HTTP\/1\.1 (\d+) /g)].map(match =>
        Number(match[1]),
      );
    },
    get isClosed() {
      return isClosed;
    },
    sendRequest: (attemptId, path, lines = []) => {
      const head = [
        `GET ${path} HTTP/1.1`,
        `host: ${FLEET_HOST_NAME}`,
        `attempt-id: ${attemptId}`,
        'timeout-ms: 5000',
        ...lines,
      ];
      socket.write(`${head.join('\r\n')}\r\n\r\n`);
    },
  };
}
