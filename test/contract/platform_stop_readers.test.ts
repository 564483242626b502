import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {FLEET_HOST_NAME} from '../fakes/fleet_client.js';
import {SAFE_PATH} from '../fakes/platform_fleet.js';
import {signatureOf} from '../fakes/fake_upstream.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

const DOWNLOAD = Buffer.alloc(14_000_000, 'x');
const READ_BYTES_PER_MILLI = 5000;
const FURTHER_REQUEST_INTERVAL_MILLIS = 100;

test('a planned stop lets a slow reader get a whole response', async t => {
  // Guards against downloads that the reset of their connection cuts at a planned stop.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [SAFE_PATH],
  });
  const [shop, orders] = fleet.hosts;
  orders!.upstream.setHandler(({attemptId, response}) => {
    const body = attemptId === 'download' ? DOWNLOAD : '';
    response.writeHead(200, {
      'attempt-id': attemptId,
      'response-signature': signatureOf(orders!.upstream.id, attemptId),
      'content-length': body.length,
    });
    response.end(body);
  });
  const socket = net.connect(fleet.outboundPort, shop!.address);
  t.teardown(() => socket.destroy());
  let receivedBytes = 0;
  let errorCode: string | undefined;
  socket.on('error', (error: NodeJS.ErrnoException) => {
    errorCode = error.code;
  });
  socket.on('data', chunk => {
    receivedBytes += chunk.length;
    socket.pause();
    setTimeout(() => socket.resume(), chunk.length / READ_BYTES_PER_MILLI);
  });
  const sendRequest = (attemptId: string): void => {
    socket.write(
      `GET /a/1 HTTP/1.1\r\nhost: ${FLEET_HOST_NAME}\r\n` +
        `attempt-id: ${attemptId}\r\ntimeout-ms: 9000\r\n\r\n`,
    );
  };
  await once(socket, 'connect');
  sendRequest('download');
  await waitUntil('under way', () => receivedBytes > 0);
  const stopped = shop!.node.stop();
  let furtherCount = 0;
  while (receivedBytes < DOWNLOAD.length && !socket.closed) {
    furtherCount += 1;
    sendRequest(`further-${String(furtherCount)}`);
    await sleep(FURTHER_REQUEST_INTERVAL_MILLIS);
  }
  socket.destroy();
  await stopped;
  t.is(errorCode, undefined);
  t.true(receivedBytes >= DOWNLOAD.length, `${String(receivedBytes)} bytes`);
});
