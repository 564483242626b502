/**
 * Connections between nodes that are lost while an upstream is at work.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {LinkMode} from '../../src/emulator/faulty_link.js';
import {createPath, ORDER_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

/** Longer than all that a client waits for in these tests. */
const TIMEOUT_S = 20;

const READ_PATH = createPath({timeoutS: TIMEOUT_S});
const LONG_ORDER_PATH = {...ORDER_PATH, timeoutS: TIMEOUT_S};

interface LostConnection {
  readonly isRead: boolean;
  /** How the link treats the connection and all new ones. */
  readonly mode: LinkMode;
  readonly millis: number;
  readonly isEntryStopping: boolean;
}

/** Loses the connection to the only upstream of a service while it is at work. */
async function loseConnection(t: ExecutionContext, lost: LostConnection) {
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [READ_PATH, LONG_ORDER_PATH],
    hasLinks: true,
  });
  const [shop, orders] = fleet.hosts;
  const {upstream, link} = orders!;
  const responses: Array<() => void> = [];
  upstream.setHandler(request => {
    responses.push(() => {
      request.respond(200, 'done');
    });
  });
  let isEnded = false;
  const ended = fleet
    .send(shop!, {
      attemptId: 'held',
      timeoutMillis: TIMEOUT_S * 1000,
      ...(lost.isRead
        ? {path: '/a/1'}
        : {method: 'POST', path: '/order/1', body: 'x'}),
    })
    .finally(() => (isEnded = true));
  await waitUntil('at work', () => upstream.runIds.length === 1);
  const stopped = lost.isEntryStopping ? shop!.node.stop() : undefined;
  link?.setDefaultMode(lost.mode);
  await sleep(lost.millis);
  link?.setDefaultMode('open');
  await waitUntil(
    'resumed or ended',
    () =>
      isEnded ||
      upstream.abortedCount > 0 ||
      shop!.events.some(({event}) => event === 'connection-replaced'),
  );
  for (const respond of responses) respond();
  t.is(upstream.abortedCount, 0);
  t.is((await ended).statusCode, 200);
  t.deepEqual(upstream.runIds, ['held']);
  await stopped;
}

for (const isRead of [true, false]) {
  for (const isEntryStopping of [false, true]) {
    const kind = isRead ? 'a read' : 'an order';
    const state = isEntryStopping ? 'a stopping' : 'an';
    for (const millis of [500, 1200]) {
      test(`${kind} of ${state} entry node outlasts ${String(millis)} ms without a connection to its only upstream`, async t => {
        // Guards against responses of a node in place of those of an upstream at work.
        await loseConnection(t, {
          isRead,
          mode: 'reset',
          millis,
          isEntryStopping,
        });
      });
    }
  }
}

test('a read goes to another upstream if the node of its own does not reply', async t => {
  // Guards against reads that wait for a node that is gone until their deadline.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders', 'orders'],
    paths: [READ_PATH],
    hasLinks: true,
  });
  const [shop, ...orders] = fleet.hosts;
  const held = (): number =>
    orders.filter(({upstream}) => upstream.runIds.includes('held')).length;
  for (const {upstream} of orders) {
    upstream.setHandler(request => {
      if (held() > 1) request.respond(200, upstream.id);
    });
  }
  const ended = fleet.send(shop!, {
    attemptId: 'held',
    timeoutMillis: TIMEOUT_S * 1000,
    path: '/a/1',
  });
  await waitUntil('at work', () => held() === 1);
  const [first, second] = [...orders].sort(
    (a, b) => b.upstream.runIds.length - a.upstream.runIds.length,
  );
  first!.link?.setDefaultMode('silent');
  const {statusCode, body} = await ended;
  t.is(statusCode, 200);
  t.is(body, second!.upstream.id);
  first!.link?.setDefaultMode('open');
  await waitUntil('cancelled', () => first!.upstream.abortedCount === 1);
});
