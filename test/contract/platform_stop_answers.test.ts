import test from 'ava';
import {once} from 'node:events';
import net from 'node:net';
import {FLEET_HOST_NAME} from '../fakes/fleet_client.js';
import {fleetPath, SAFE_PATH} from '../fakes/platform_fleet.js';
import {signatureOf} from '../fakes/stand_in_backend.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

/** Longer than what a node holds until it is whole. */
const LONG_BYTES = 140_000;

const OWN_PATH = fleetPath({name: 'r-3', prefix: '/own/', service: 'shop'});

for (const [where, path] of [
  ['another host', '/a/1'],
  ['the own upstream', '/own/1'],
] as const) {
  test(`a planned stop resets an answer without a length in its middle: ${where}`, async t => {
    // In a trial a client took 70,061 bytes of an answer for the whole one: it had
    // no length, the grace of its node ended in its middle, and a connection that
    // the end of the process closes ends in good order, which is how an answer
    // without a length ends. Here the upstream is still sending it, and the stop
    // has reset it before the process ends.
    const fleet = await startFleet(t, {
      services: ['shop', 'orders'],
      paths: [SAFE_PATH, OWN_PATH],
    });
    const [shop] = fleet.hosts;
    for (const {backend} of fleet.hosts) {
      backend.setBehaviour(({attemptId, socket}) => {
        const signature = signatureOf(backend.id, attemptId);
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
    await waitUntil('in its middle', () => receivedBytes > LONG_BYTES / 2);
    await shop!.node.stop();
    // Nothing of the node runs any more when the process ends.
    await waitUntil('closed', () => socket.closed);
    t.is(errorCode, 'ECONNRESET');
  });
}
