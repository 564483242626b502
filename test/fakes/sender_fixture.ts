/**
 * An upstream sender, with the server that it sends to.
 */
import {once} from 'node:events';
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {ExecutionContext} from 'ava';
import {createCancelSource} from '../../src/base/cancel_signal.js';
import type {UpstreamRequest} from '../../src/connection/upstream_request.js';
import type {UpstreamResult} from '../../src/connection/upstream_result.js';
import type {
  UpstreamSender,
  UpstreamSenderEvents,
} from '../../src/connection/upstream_sender.js';
import {createUpstreamSender} from '../../src/connection/upstream_sender.js';
import type {CancelCause} from '../../src/protocol/cancel_cause.js';
import type {WireHeaders} from '../../src/protocol/wire_headers.js';

export interface SenderFixture {
  readonly server: Server;
  readonly sender: UpstreamSender;
  /** Connections that the server has accepted. */
  readonly connectionsCount: number;
  /** Sends an order with this id. */
  send(attemptId: string): Promise<UpstreamResult>;
  /** Sends a read with this id. */
  sendRead(attemptId: string): Promise<UpstreamResult>;
}

/** Returns a request that must not be repeated. */
export function upstreamOrder(
  attemptId: string,
  fields: Partial<UpstreamRequest> = {},
): UpstreamRequest {
  return {
    attemptId,
    upstreamId: 'u-1',
    callerService: 'shop',
    method: 'POST',
    target: '/x',
    headers: ['host', 'orders', 'attempt-id', attemptId],
    body: Buffer.from('x'),
    isRepeatable: false,
    timeoutMillis: 5000,
    cancel: createCancelSource<CancelCause>().signal,
    ...fields,
  };
}

/** Returns a request that may be repeated. */
export function upstreamRead(attemptId: string): UpstreamRequest {
  return upstreamOrder(attemptId, {
    method: 'GET',
    body: Buffer.alloc(0),
    isRepeatable: true,
  });
}

/** Starts a server without a handler, and a sender to it; both end with the test. */
export async function startSenderFixture(
  t: ExecutionContext,
  wireHeaders: WireHeaders,
  events: UpstreamSenderEvents = {},
): Promise<SenderFixture> {
  const server = createServer();
  let connectionsCount = 0;
  server.on('connection', () => {
    connectionsCount += 1;
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const sender = createUpstreamSender({
    upstream: {address: '127.0.0.1', port},
    wireHeaders,
    nowMillis: () => performance.now(),
    ...events,
  });
  t.teardown(() => {
    sender.dispose();
    server.close();
    server.closeAllConnections();
  });
  return {
    server,
    sender,
    get connectionsCount() {
      return connectionsCount;
    },
    send: attemptId =>
      new Promise(resolve => {
        sender.send(upstreamOrder(attemptId), resolve);
      }),
    sendRead: attemptId =>
      new Promise(resolve => {
        sender.send(upstreamRead(attemptId), resolve);
      }),
  };
}
