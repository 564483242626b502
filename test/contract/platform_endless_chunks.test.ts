/**
 * Processes of nodes whose upstream sends bodies without end in chunks of one byte.
 */
import type {Socket} from 'node:net';
import net from 'node:net';
import test from 'ava';
import {signatureOf} from '../fakes/fake_upstream.js';
import {FLEET_HOST_NAME} from '../fakes/fleet_client.js';
import {
  startProcessFleet,
  waitForAllUpstreams,
} from '../fakes/process_fleet.js';
import {SAFE_PATH} from '../fakes/platform_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

const CLIENTS_COUNT = 60;

const REFUSED = 'HTTP/1.1 503';

const CHUNKS = '1\r\na\r\n'.repeat(4000);

/** Consecutive checks without another write, after which all upstreams have to wait. */
const UNCHANGED_CHECKS_COUNT = 30;

test('nodes outlast endless bodies in chunks of one byte for clients that do not read', async t => {
  // Guards against a node that exceeds its heap and ends with all its requests.
  const fleet = await startProcessFleet(t, ['shop', 'orders'], [SAFE_PATH], {
    slots: 2 * CLIENTS_COUNT,
  });
  await waitForAllUpstreams(fleet.hosts);
  const [shop, orders] = fleet.hosts;
  let sentCount = 0;
  let endedCount = 0;
  for (const host of fleet.hosts) {
    void host.process.ended.then(() => (endedCount += 1));
  }
  const sendEndless = (socket: Socket): void => {
    if (socket.destroyed) return;
    sentCount += 1;
    if (socket.write(CHUNKS)) setImmediate(sendEndless, socket);
    else socket.once('drain', sendEndless.bind(undefined, socket));
  };
  orders!.upstream.setHandler(request => {
    const {attemptId, socket} = request;
    if (attemptId === 'after') {
      request.respond(200, 'complete');
      return;
    }
    socket.on('error', () => undefined);
    socket.write(
      `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\nresponse-signature: ` +
        `${signatureOf(orders!.upstream.id, attemptId)}\r\n` +
        'transfer-encoding: chunked\r\n\r\n',
    );
    sendEndless(socket);
  });
  const clients: Socket[] = [];
  const connect = (attemptId: string): void => {
    const client = net.connect(fleet.outboundPort, shop!.address);
    t.teardown(() => client.destroy());
    client.on('error', () => undefined);
    client.once('data', start => {
      client.pause();
      // A busy node may refuse a request that would wait too long for a slot.
      if (start.toString('latin1').startsWith(REFUSED)) {
        connect(`${attemptId}.`);
      }
    });
    client.write(
      `GET /a/1 HTTP/1.1\r\nhost: ${FLEET_HOST_NAME}\r\n` +
        `attempt-id: ${attemptId}\r\ntimeout-ms: 60000\r\n\r\n`,
    );
    clients.push(client);
  };
  for (let index = 0; index < CLIENTS_COUNT; index += 1) {
    connect(`endless-${String(index)}`);
  }
  let checkedCount = -1;
  let unchangedCount = 0;
  await waitUntil('all wait, or a node has ended', () => {
    unchangedCount = sentCount === checkedCount ? unchangedCount + 1 : 0;
    checkedCount = sentCount;
    const haveAllStarted = orders!.upstream.runIds.length === CLIENTS_COUNT;
    const mustAllWait = unchangedCount >= UNCHANGED_CHECKS_COUNT;
    return endedCount > 0 || (haveAllStarted && mustAllWait);
  });
  t.is(endedCount, 0);
  for (const client of clients) client.destroy();
  // Reads are refused as not run for as long as nodes are busy with the end of the others.
  let statusCode = 503;
  while (statusCode === 503) {
    const after = await fleet.send(0, {attemptId: 'after', path: '/a/2'});
    ({statusCode} = after);
  }
  t.is(statusCode, 200);
  t.is(endedCount, 0);
});
