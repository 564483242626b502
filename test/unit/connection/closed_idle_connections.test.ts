/**
 * Requests that are sent while a closed connection is still in the pool.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import {HEADERS} from '../../../platform/wire_names.js';
import {createCancelSource} from '../../../src/base/cancel_signal.js';
import type {UpstreamRequest} from '../../../src/connection/upstream_request.js';
import type {UpstreamResult} from '../../../src/connection/upstream_result.js';
import type {UpstreamSender} from '../../../src/connection/upstream_sender.js';
import {createUpstreamSender} from '../../../src/connection/upstream_sender.js';
import type {CancelCause} from '../../../src/protocol/cancel_cause.js';

/** Id of the order whose response has the id of another request. */
const MISMATCHED_ID = 'mismatched';

function orderOf(attemptId: string): UpstreamRequest {
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
  };
}

interface Fixture {
  readonly sender: UpstreamSender;
  /** Connections that the upstream has accepted. */
  readonly sockets: readonly Socket[];
}

/** Starts a sender with two idle connections to its upstream. */
async function startFixture(t: ExecutionContext): Promise<Fixture> {
  const sockets: Socket[] = [];
  const server = createServer((request, response) => {
    const id = String(request.headers['attempt-id']);
    response.writeHead(200, {
      'attempt-id': id === MISMATCHED_ID ? 'other' : id,
      'response-signature': 's',
    });
    response.end();
  });
  server.on('connection', socket => sockets.push(socket));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const sender = createUpstreamSender({
    upstream: {address: '127.0.0.1', port},
    wireHeaders: HEADERS,
    nowMillis: () => performance.now(),
  });
  t.teardown(() => {
    sender.dispose();
    server.close();
    server.closeAllConnections();
  });
  await Promise.all(['o1', 'o2'].map(id => send(sender, id)));
  return {sender, sockets};
}

function send(
  sender: UpstreamSender,
  attemptId: string,
): Promise<UpstreamResult> {
  return new Promise(resolve => {
    sender.send(orderOf(attemptId), resolve);
  });
}

test('an order that follows a discarded response in the same turn is not lost', async t => {
  // Guards against an order without an outcome, sent on a connection just closed.
  const {sender, sockets} = await startFixture(t);
  const following = await new Promise<UpstreamResult>(resolve => {
    sender.send(orderOf(MISMATCHED_ID), result => {
      t.is(result.kind, 'unknown');
      sender.send(orderOf('o3'), resolve);
    });
  });
  t.is(following.kind, 'answered');
  t.is(sockets.length, 2);
});
