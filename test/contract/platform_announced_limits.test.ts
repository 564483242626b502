import test from 'ava';
import type {Exchange, SendToNode} from '../fakes/announced_load.js';
import {
  peakWindowCount,
  sendSteadily,
  toleratedCount,
} from '../fakes/announced_load.js';
import type {FakeUpstream} from '../fakes/fake_upstream.js';
import type {PlatformFleet} from '../fakes/platform_fleet.js';
import {createPath, ORDER_PATH, SAFE_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';

const WORK_MILLIS = 30;

/** Time from the announcement of a limit to the end of two windows under it. */
const DURATION_MILLIS = 9000;

function sendTo(fleet: PlatformFleet): SendToNode {
  return (nodeIndex, request) => fleet.send(fleet.hosts[nodeIndex]!, request);
}

function workSlowly(upstream: FakeUpstream): void {
  upstream.setHandler(request => {
    setTimeout(() => {
      request.respond(200, 'served');
    }, WORK_MILLIS);
  });
}

function countAnswers(
  exchanges: readonly Exchange[],
  statusCode: number,
): number {
  return exchanges.filter(({answer}) => answer?.statusCode === statusCode)
    .length;
}

test('an upstream that announces a limit gets no more requests from all nodes together', async t => {
  // Guards against an upstream in need that gets its full load because its limit reaches
  // the clients but no node respects it.
  const fleet = await startFleet(t, {
    services: ['shop', 'desk', 'orders', 'orders', 'orders'],
    paths: [SAFE_PATH],
  });
  const [, , limited, ...others] = fleet.hosts;
  for (const {upstream} of [limited!, ...others]) workSlowly(upstream);
  limited!.upstream.announce({limits: ['5.1']});
  const exchanges = await sendSteadily(sendTo(fleet), {
    nodeIndexes: [0, 1, 2, 3, 4],
    perSecond: 100,
    durationMillis: DURATION_MILLIS,
  });
  const peakCount = peakWindowCount(exchanges, limited!.upstream.arrivals);
  t.true(peakCount <= toleratedCount(5.1), String(peakCount));
  t.true(peakCount >= 10, String(peakCount));
  const servedCount = countAnswers(exchanges, 200);
  t.true(servedCount >= 0.99 * exchanges.length, String(servedCount));
});

test('while all upstreams of a service announce limits, the most important requests are served', async t => {
  // Guards against a limit that is spent on the requests that arrive first.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders', 'orders'],
    paths: [createPath({priority: 3}), ORDER_PATH],
  });
  const limited = fleet.hosts.slice(1).map(({upstream}) => upstream);
  for (const upstream of limited) {
    workSlowly(upstream);
    upstream.announce({limits: ['10']});
  }
  const exchanges = await sendSteadily(sendTo(fleet), {
    nodeIndexes: [0, 1, 2],
    perSecond: 80,
    durationMillis: DURATION_MILLIS,
    requestOf: index =>
      index % 8 === 0
        ? {path: '/order/1', method: 'POST', body: 'x'}
        : {path: '/a/1'},
  });
  for (const upstream of limited) {
    const peakCount = peakWindowCount(exchanges, upstream.arrivals);
    t.true(peakCount <= toleratedCount(10), String(peakCount));
  }
  const orders = exchanges.filter(({path}) => path.startsWith('/order/'));
  const orderCount = countAnswers(orders, 200);
  t.true(orderCount >= 0.8 * orders.length, String(orderCount));
  const servedCount = countAnswers(exchanges, 200);
  t.true(servedCount >= 100, String(servedCount));
  for (const {answer} of exchanges) {
    if (answer?.statusCode === 200) continue;
    t.is(answer?.statusCode, 503);
    t.true(Number(answer?.headers['retry-after']) > 0);
  }
});

test('a request that a small limit refuses is told when there is room for another one', async t => {
  // Guards against clients that return before the limited service has room again.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [createPath({sloS: 0.4})],
  });
  fleet.hosts[1]!.upstream.announce({limits: ['0.5']});
  const exchanges = await sendSteadily(sendTo(fleet), {
    nodeIndexes: [0, 1],
    perSecond: 20,
    durationMillis: 1500,
  });
  const refused = exchanges.filter(({answer}) => answer?.statusCode === 503);
  const times = refused.map(({answer}) => answer?.headers['retry-after']);
  t.true(refused.length > 10, String(refused.length));
  t.true(
    times.some(seconds => Number(seconds) >= 1.9),
    times.join(' '),
  );
});
