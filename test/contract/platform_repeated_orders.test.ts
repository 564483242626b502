/**
 * Orders that arrive again under the same attempt id.
 */
import test from 'ava';
import type {ReceivedRequest} from '../fakes/fake_upstream.js';
import {ORDER_PATH, orderRequest, SAFE_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

for (const [title, services] of [
  ['at the same node', ['shop', 'orders', 'orders']],
  ['at another node, for the same upstream', ['shop', 'orders']],
] as const) {
  test(`an order that is sent again while it runs is not run again: ${title}`, async t => {
    // Guards against an order that runs twice because a client or its HTTP library takes
    // a closed connection for an unread request.
    const fleet = await startFleet(t, {
      services,
      paths: [SAFE_PATH, ORDER_PATH],
    });
    const [shop, ...orders] = fleet.hosts;
    const running: ReceivedRequest[] = [];
    for (const {upstream} of orders) {
      upstream.setHandler(request => {
        running.push(request);
      });
    }
    const first = fleet.send(shop!, orderRequest('o1'));
    await waitUntil('running', () => running.length === 1);
    const isSameNode = services.length > 2;
    const entry = isSameNode ? shop! : orders[0]!;
    t.is((await fleet.send(entry, orderRequest('o1'))).statusCode, 502);
    running[0]!.respond(200, 'served');
    t.is((await first).statusCode, 200);
    t.is((await fleet.send(entry, orderRequest('o1'))).statusCode, 502);
    t.is(running.length, 1);
    const lines = entry.events.filter(({event}) => event === 'order-repeated');
    t.is(lines.length, 2);
  });
}

test('an order that was refused may be sent again under its id', async t => {
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [ORDER_PATH],
  });
  const [shop, orders] = fleet.hosts;
  orders!.upstream.setHandler(request => {
    request.reject();
  });
  t.is((await fleet.send(shop!, orderRequest('o1'))).statusCode, 503);
  orders!.upstream.setHandler(request => {
    request.respond(200, 'served');
  });
  t.is((await fleet.send(shop!, orderRequest('o1'))).statusCode, 200);
});
