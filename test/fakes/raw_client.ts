/**
 * HTTP client on a raw socket, for requests that are pipelined or sent long after the
 * connection was opened.
 */
import {once} from 'node:events';
import net from 'node:net';
import type {ExecutionContext} from 'ava';
import {FLEET_HOST_NAME} from './fleet_client.js';

/** One connection of a client. */
export interface RawClient {
  /** All data received, as Latin-1. */
  readonly received: string;
  /** Status codes of the responses in the order of arrival. */
  readonly statusCodes: readonly number[];
  readonly isClosed: boolean;
  write(text: string): void;
  /** Writes a request without a body, with additional header lines. */
  sendRequest(
    attemptId: string,
    path: string,
    headerLines?: readonly string[],
  ): void;
}

/** Connects to a node; the connection is closed when the test ends. */
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
    write: text => {
      socket.write(text, 'latin1');
    },
    sendRequest: (attemptId, path, headerLines = []) => {
      const head = [
        `GET ${path} HTTP/1.1`,
        `host: ${FLEET_HOST_NAME}`,
        `attempt-id: ${attemptId}`,
        'timeout-ms: 5000',
        ...headerLines,
      ];
      socket.write(`${head.join('\r\n')}\r\n\r\n`);
    },
  };
}
