import test from 'ava';
import {once} from 'node:events';
import net from 'node:net';
import {onConnectionEnd} from '../../src/connection/connection_end.js';
import {FLEET_HOST_NAME} from '../fakes/fleet_client.js';
import {SAFE_PATH} from '../fakes/platform_fleet.js';
import {connectRawClient} from '../fakes/raw_client.js';
import {signatureOf} from '../fakes/fake_upstream.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

test('a request after a response without body and length gets a response', async t => {
  // After a 204 response, the client's next request on the same connection got no
  // response, and the connection stayed open: every response without a length was
  // treated as closing its connection, but only one that has a body does.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [SAFE_PATH],
  });
  const [shop, orders] = fleet.hosts;
  orders!.upstream.setHandler(request => {
    request.respond(request.attemptId === 'first' ? 204 : 200, '');
  });
  const client = await connectRawClient(t, shop!.address, fleet.outboundPort);
  client.sendRequest('first', '/a/1');
  await waitUntil('first response', () => client.statusCodes.length === 1);
  client.sendRequest('second', '/a/2');
  await waitUntil('second response', () => client.statusCodes.length === 2);
  t.deepEqual(client.statusCodes, [204, 200]);
});

test('a long response without a length that is aborted is reset, not ended', async t => {
  // A client treated 70,061 bytes of an aborted response as complete: the upstream
  // connection was reset within the body, and the node closed the client connection
  // normally, which marks the end of a response without a length.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [SAFE_PATH],
  });
  const [shop, orders] = fleet.hosts;
  orders!.upstream.setHandler(({attemptId, socket}) => {
    const signature = signatureOf(orders!.upstream.id, attemptId);
    socket.write(
      `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\n` +
        `response-signature: ${signature}\r\nconnection: close\r\n\r\n`,
    );
    socket.write('x'.repeat(LONG_BYTES));
    void waitUntil('half', () => receivedBytes > LONG_BYTES / 2).then(() =>
      socket.resetAndDestroy(),
    );
  });
  const socket = net.connect(fleet.outboundPort, shop!.address);
  let receivedBytes = 0;
  let end: string | undefined;
  socket.on('data', chunk => (receivedBytes += chunk.length));
  socket.on('error', (error: NodeJS.ErrnoException) => (end = error.code));
  // Node.js may report a reset as an end.
  onConnectionEnd(socket, connectionEnd => (end = connectionEnd));
  await once(socket, 'connect');
  socket.write(
    `GET /a/1 HTTP/1.1\r\nhost: ${FLEET_HOST_NAME}\r\nattempt-id: long\r\ntimeout-ms: 5000\r\n\r\n`,
  );
  await waitUntil('closed', () => socket.closed);
  t.true(receivedBytes > LONG_BYTES / 2);
  t.true(end === 'reset' || end === 'ECONNRESET', `ended by ${String(end)}`);
});

/** Longer than a response that a node receives completely before it sends it. */
const LONG_BYTES = 3_000_000;
