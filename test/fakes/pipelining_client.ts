/**
 * HTTP client that keeps a connection open and sends several requests on it at once. It
 * reports for each request what its sender may assume.
 */
import {once} from 'node:events';
import net from 'node:net';
import {onConnectionEnd} from '../../src/connection/connection_end.js';
import {FLEET_HOST_NAME} from './fleet_client.js';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ResponseHead} from './response_reader.js';
import {createResponseReader} from './response_reader.js';

export interface PipelinedRequest {
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  readonly timeoutMillis?: number;
}

export type PipelinedOutcome =
  | {
      readonly kind: 'answered';
      readonly head: ResponseHead;
      /** As Latin-1. */
      readonly body: string;
    }
  /** A response before this one closed the connection: the request counts as not read. */
  | {readonly kind: 'unread'}
  /** The connection was lost; the request may have run. */
  | {readonly kind: 'lost'};

/** One connection of a client. */
export interface PipeliningClient {
  readonly isOpen: boolean;
  readonly receivedBytes: number;
  /** Responses, or parts of them, for which no request was waiting. */
  readonly excessCount: number;
  /** Sends the requests in one write; resolves once the outcome of each is known. */
  send(
    requests: readonly PipelinedRequest[],
  ): Promise<readonly PipelinedOutcome[]>;
  /** Reads nothing for this long. */
  pause(millis: number): Promise<void>;
  close(): void;
}

interface PendingRequest {
  readonly resolve: (outcome: PipelinedOutcome) => void;
}

/** Connects to a node; rejects if it does not accept the connection. */
export async function connectPipeliningClient(
  address: string,
  port: number,
): Promise<PipeliningClient> {
  const socket = net.connect(port, address);
  const pending: PendingRequest[] = [];
  let hasClosingResponse = false;
  let excessCount = 0;

  const endAll = (): void => {
    const isBehindResponse = hasClosingResponse || reader.isWithinResponse;
    for (const [index, {resolve}] of pending.splice(0).entries()) {
      const isWithin = index === 0 && reader.isWithinResponse;
      resolve({kind: isBehindResponse && !isWithin ? 'unread' : 'lost'});
    }
  };
  const reader = createResponseReader({
    onResponse: (head, body) => {
      const request = pending.shift();
      if (request === undefined) excessCount += 1;
      request?.resolve({kind: 'answered', head, body});
      if (!head.closesConnection) return;
      hasClosingResponse = true;
      socket.destroy();
    },
  });
  socket.on('data', reader.push);
  // Node.js may report a reset as an end.
  onConnectionEnd(socket, end => {
    if (end === 'closed') reader.end();
  });
  socket.on('error', () => undefined);
  socket.on('close', endAll);
  await once(socket, 'connect');
  return {
    get isOpen() {
      return !socket.destroyed && socket.writable && !hasClosingResponse;
    },
    get receivedBytes() {
      return socket.bytesRead;
    },
    get excessCount() {
      return excessCount;
    },
    pause: async millis => {
      socket.pause();
      await sleep(millis);
      socket.resume();
    },
    send: requests => {
      const outcomes = requests.map(
        () =>
          new Promise<PipelinedOutcome>(resolve => {
            if (socket.destroyed) resolve({kind: 'unread'});
            else pending.push({resolve});
          }),
      );
      socket.write(requests.map(formatRequest).join(''));
      return Promise.all(outcomes);
    },
    close: () => {
      socket.destroy();
    },
  };
}

/** Returns the bytes of a request. */
export function formatRequest(request: PipelinedRequest): string {
  const {attemptId, method, path, body, timeoutMillis = 5000} = request;
  const head = [
    `${method} ${path} HTTP/1.1`,
    `host: ${FLEET_HOST_NAME}`,
    `attempt-id: ${attemptId}`,
    `timeout-ms: ${String(timeoutMillis)}`,
    ...(body === undefined ? [] : [`content-length: ${String(body.length)}`]),
  ];
  return `${head.join('\r\n')}\r\n\r\n${body ?? ''}`;
}
