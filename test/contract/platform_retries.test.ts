import test from 'ava';
import {ORDER_PATH, orderRequest, SAFE_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';

/** More requests than a node needs to estimate the usual response time. */
const WARM_UP_REQUESTS_COUNT = 60;

test('a read whose response is lost is retried at another upstream', async t => {
  // Guards against reads that fail at their deadline while other upstreams are free: an
  // upstream executes a request, its response is lost without an error, and the attempt
  // ran to the deadline of the request.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders', 'orders'],
    paths: [SAFE_PATH, ORDER_PATH],
  });
  const [shop, ...orders] = fleet.hosts;
  for (let index = 0; index < WARM_UP_REQUESTS_COUNT; index += 1) {
    const attemptId = `learn${String(index)}`;
    await fleet.send(shop!, {attemptId, path: '/a/1'});
  }
  const triedIds: string[] = [];
  for (const {upstream} of orders) {
    upstream.setHandler(request => {
      if (request.target.startsWith('/a/lost')) triedIds.push(upstream.id);
      if (triedIds.length === 1) return;
      request.respond(200, 'done');
    });
  }
  const answer = await fleet.send(shop!, {attemptId: 'lost', path: '/a/lost'});
  t.is(answer.statusCode, 200);
  t.deepEqual([...triedIds].sort(), ['i-2', 'i-3']);
});

test('an order whose response is lost is never retried', async t => {
  const fleet = await startFleet(t, {
    services: ['shop', 'orders', 'orders'],
    paths: [SAFE_PATH, ORDER_PATH],
  });
  const [shop, ...orders] = fleet.hosts;
  const send = (attemptId: string) =>
    fleet.send(shop!, {...orderRequest(attemptId), timeoutMillis: 1000});
  for (let index = 0; index < WARM_UP_REQUESTS_COUNT; index += 1) {
    await send(`learn${String(index)}`);
  }
  for (const {upstream} of orders) upstream.setHandler(() => undefined);
  const answer = await send('lost');
  t.is(answer.statusCode, 504);
  const runsCount = orders.filter(({upstream}) =>
    upstream.runIds.includes('lost'),
  ).length;
  t.is(runsCount, 1);
});
