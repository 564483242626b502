import test from 'ava';
import {once} from 'node:events';
import net from 'node:net';
import {FLEET_HOST_NAME} from '../fakes/fleet_client.js';
import {createPath, SAFE_PATH} from '../fakes/platform_fleet.js';
import {signatureOf} from '../fakes/fake_upstream.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

/** Longer than a response that a node receives completely before it sends it. */
const LONG_BYTES = 3_000_000;

const OWN_PATH = createPath({name: 'r-3', prefix: '/own/', service: 'shop'});

for (const [where, path] of [
  ['another host', '/a/1'],
  ['the own upstream', '/own/1'],
] as const) {
  test(`a planned stop resets an incomplete response without a length: ${where}`, async t => {
    // A process that exits closes its connections normally, which is also how a
    // response without a length ends: if the grace period ends in the middle of
    // such a response, the client accepts a part of it (such as 70,061 bytes) as
    // complete. While the upstream is still sending, as here, the stop must reset
    // the connection before the process ends.
    const fleet = await startFleet(t, {
      services: ['shop', 'orders'],
      paths: [SAFE_PATH, OWN_PATH],
    });
    const [shop] = fleet.hosts;
    for (const {upstream} of fleet.hosts) {
      upstream.setHandler(({attemptId, socket}) => {
        const signature = signatureOf(upstream.id, attemptId);
        socket.write(
          `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\n` +
            `response-signature: ${signature}\r\nconnection: close\r\n\r\n`,
        );
        socket.write('x'.repeat(LONG_BYTES));
      });
    }
    const socket = net.connect(fleet.outboundPort, shop!.address);
    t.teardown(() => socket.destroy());
    let receivedBytes = 0;
    let errorCode: string | undefined;
    socket.on('data', chunk => (receivedBytes += chunk.length));
    socket.on(
      'error',
      (error: NodeJS.ErrnoException) => (errorCode = error.code),
    );
    await once(socket, 'connect');
    socket.write(
      `GET ${path} HTTP/1.1\r\nhost: ${FLEET_HOST_NAME}\r\nattempt-id: long\r\ntimeout-ms: 9000\r\n\r\n`,
    );
    await waitUntil(
      'half of the response',
      () => receivedBytes > LONG_BYTES / 2,
    );
    await shop!.node.stop();
    // No code of the node runs after the process ends.
    await waitUntil('closed', () => socket.closed);
    t.is(errorCode, 'ECONNRESET');
  });
}
