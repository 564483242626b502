/**
 * Clients that leave just before their request is dispatched to its upstream.
 */
import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {formatRequest} from '../fakes/pipelining_client.js';
import {ORDER_PATH, SAFE_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

const WORK_MILLIS = 300;

/** Shorter than the time for which requests wait for the first dispatch under an id. */
const LEAVE_AFTER_MILLIS = 5;

const LEAVING_COUNT = 5;

/** Requests in progress at the upstream of a node. */
function inFlightCount(state: Readonly<Record<string, unknown>>): unknown {
  const {inFlightCount: count} = state['admission'] as {
    readonly inFlightCount: number;
  };
  return count;
}

test('a client that leaves before its request is dispatched frees the slot', async t => {
  // Guards against an upstream that loses a slot for good, and whose requests in progress
  // are cancelled, since requests that were never sent ended in an exception.
  const fleet = await startFleet(t, {
    services: ['orders'],
    paths: [SAFE_PATH, ORDER_PATH],
  });
  const [host] = fleet.hosts;
  const {address, upstream, node} = host!;
  upstream.setHandler(request => {
    setTimeout(() => {
      request.respond(200, 'served');
    }, WORK_MILLIS);
  });
  const sockets: net.Socket[] = [];
  for (let index = 0; index < LEAVING_COUNT; index += 1) {
    const socket = net.connect(fleet.outboundPort, address);
    await once(socket, 'connect');
    sockets.push(socket);
  }
  const first = fleet.send(host!, {attemptId: 'first', path: '/a/1'});
  await waitUntil('first dispatch', () => upstream.runIds.length === 1);
  for (const [index, socket] of sockets.entries()) {
    socket.write(
      formatRequest({
        attemptId: `order-${String(index)}`,
        method: 'POST',
        path: '/order/1',
        body: 'x',
      }),
    );
  }
  await sleep(LEAVE_AFTER_MILLIS);
  for (const socket of sockets) socket.destroy();
  t.is((await first).statusCode, 200);
  await waitUntil('idle', () => inFlightCount(node.state()) === 0);
  t.like(node.state(), {node: {busyCount: 0}});
  t.is(new Set(upstream.runIds).size, upstream.runIds.length);
});
