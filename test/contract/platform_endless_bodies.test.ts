/**
 * Responses of real processes whose upstream sends a body without end.
 */
import type {Socket} from 'node:net';
import net from 'node:net';
import {once} from 'node:events';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import {FLEET_HOST_NAME} from '../fakes/fleet_client.js';
import {signatureOf} from '../fakes/fake_upstream.js';
import {SAFE_PATH} from '../fakes/platform_fleet.js';
import {connectRawClient} from '../fakes/raw_client.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

const CHUNK = `8000\r\n${'a'.repeat(0x8000)}\r\n`;

/** Bytes that two nodes and the system may hold for a client that does not read. */
const MAX_HELD_BYTES = 32_000_000;

/** Consecutive checks without another write, after which the upstream has to wait. */
const UNCHANGED_CHECKS_COUNT = 30;

/** Head of the response, and the bytes that follow it without end. */
const BODIES: ReadonlyArray<readonly [string, string, string]> = [
  ['in chunks', 'transfer-encoding: chunked\r\n', CHUNK],
  ['without a length', 'connection: close\r\n', 'a'.repeat(0x8000)],
];

/** A fleet whose upstream responds to the request `endless` without end. */
async function startEndlessFleet(
  t: ExecutionContext,
  fields: string,
  repeated: string,
) {
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [SAFE_PATH],
  });
  const [shop, orders] = fleet.hosts;
  const state = {sentBytes: 0, isClosed: false};
  const sendEndless = (socket: Socket): void => {
    if (socket.destroyed || state.sentBytes > 2 * MAX_HELD_BYTES) return;
    state.sentBytes += repeated.length;
    if (socket.write(repeated)) setImmediate(sendEndless, socket);
    else {
      socket.once('drain', () => {
        sendEndless(socket);
      });
    }
  };
  orders!.upstream.setHandler(request => {
    const {attemptId, socket} = request;
    if (attemptId !== 'endless') {
      request.respond(200, 'complete');
      return;
    }
    const signature = signatureOf(orders!.upstream.id, attemptId);
    socket.on('close', () => (state.isClosed = true));
    socket.write(
      `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\n` +
        `response-signature: ${signature}\r\n${fields}\r\n`,
    );
    sendEndless(socket);
  });
  const connect = async (): Promise<Socket> => {
    const client = net.connect(fleet.outboundPort, shop!.address);
    t.teardown(() => client.destroy());
    client.on('error', () => undefined);
    await once(client, 'connect');
    client.write(
      `GET /a/1 HTTP/1.1\r\nhost: ${FLEET_HOST_NAME}\r\n` +
        'attempt-id: endless\r\ntimeout-ms: 5000\r\n\r\n',
    );
    return client;
  };
  const assertServed = async (): Promise<void> => {
    const client = await connectRawClient(t, shop!.address, fleet.outboundPort);
    client.sendRequest('after', '/a/2');
    await waitUntil('a response', () => client.statusCodes.length === 1);
    t.deepEqual(client.statusCodes, [200]);
  };
  return {state, connect, assertServed};
}

for (const [name, fields, repeated] of BODIES) {
  test(`an endless body ends when its client leaves: ${name}`, async t => {
    // Guards against an upstream that is read on for a client that has left.
    const fleet = await startEndlessFleet(t, fields, repeated);
    const client = await fleet.connect();
    let receivedBytes = 0;
    client.on('data', chunk => (receivedBytes += chunk.length));
    await waitUntil('received', () => receivedBytes > 1_000_000);
    client.destroy();
    await waitUntil('closed', () => fleet.state.isClosed);
    await fleet.assertServed();
  });

  test(`little of an endless body is held for a client that does not read: ${name}`, async t => {
    // Guards against memory that grows as fast as a faulty upstream sends.
    const fleet = await startEndlessFleet(t, fields, repeated);
    const client = await fleet.connect();
    await once(client, 'readable');
    let sentBytes = 0;
    let unchangedCount = 0;
    await waitUntil('the upstream has to wait', () => {
      const isUnchanged = fleet.state.sentBytes === sentBytes;
      unchangedCount = isUnchanged ? unchangedCount + 1 : 0;
      ({sentBytes} = fleet.state);
      return unchangedCount === UNCHANGED_CHECKS_COUNT;
    });
    t.true(sentBytes <= MAX_HELD_BYTES, String(sentBytes));
    client.destroy();
    await waitUntil('closed', () => fleet.state.isClosed);
    await fleet.assertServed();
  });
}
