import test from 'ava';
import type {ExecutionContext} from 'ava';
import type {FleetHost, PlatformFleet} from '../fakes/platform_fleet.js';
import {ORDER_PATH, orderRequest, SAFE_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

const FIRST_START_MILLIS = 1_790_000_000_000;
const SECOND_START_MILLIS = FIRST_START_MILLIS + 30_000;

/** Hosts of a fleet whose upstreams publish their start time. */
interface RestartFleet {
  readonly fleet: PlatformFleet;
  readonly shop: FleetHost;
  readonly first: FleetHost;
  readonly second: FleetHost;
}

/** One host of `shop` and two of `orders`, all at their first start. */
async function startRestartFleet(t: ExecutionContext): Promise<RestartFleet> {
  const fleet = await startFleet(t, {
    services: ['shop', 'orders', 'orders'],
    paths: [SAFE_PATH, ORDER_PATH],
  });
  for (const host of fleet.hosts) {
    fleet.publish(host, {born: FIRST_START_MILLIS, seq: 40});
  }
  // A start time received during a request would count as a restart during it.
  await waitUntil('start times known', () =>
    fleet.hosts.every(host =>
      fleet.hosts.every(({upstream}) =>
        hasLogged(host, 'upstream-restarted', upstream.id),
      ),
    ),
  );
  const [shop, first, second] = fleet.hosts;
  return {fleet, shop: shop!, first: first!, second: second!};
}

/** Whether a node logged an event about an upstream. */
function hasLogged(host: FleetHost, event: string, upstream: string): boolean {
  return host.events.some(
    line => line.event === event && line.fields['upstream'] === upstream,
  );
}

/** Counts how often a node logged that the upstream of a host joined. */
function countJoins(host: FleetHost, of: FleetHost): number {
  return host.events.filter(
    ({event, fields}) =>
      event === 'upstream-joined' && fields['upstream'] === of.upstream.id,
  ).length;
}

function countRuns(hosts: readonly FleetHost[], attemptId: string): number {
  return hosts
    .flatMap(({upstream}) => upstream.runIds)
    .filter(id => id === attemptId).length;
}

for (const sender of ['another node', 'the node beside it']) {
  test(`an order in flight while its upstream restarts runs once: from ${sender}`, async t => {
    // Guards against an order that is booked twice: its upstream crashes while
    // working on it, the connection breaks, and the upstream is back under the
    // same id, so that the expected id matches. The match was treated as a
    // proof that the order did not run.
    const {fleet, shop, first, second} = await startRestartFleet(t);
    const upstreams = [first, second];
    const held: FleetHost[] = [];
    for (const host of upstreams) {
      host.upstream.setHandler(request => {
        if (held.length > 0) request.respond(200, 'again');
        else held.push(host);
      });
    }
    const from = sender === 'another node' ? shop : first;
    const answer = fleet.send(from, orderRequest('o1'));
    await waitUntil('order in flight', () => held.length === 1);
    const [holder] = held;
    await holder!.upstream.restart();
    fleet.publish(holder!, {born: SECOND_START_MILLIS, coldLeftS: 3});
    const {statusCode, headers} = await answer;
    t.is(statusCode, 502);
    t.is(headers['retry-after'], undefined);
    t.is(countRuns(upstreams, 'o1'), 1);
  });
}

test('a late entry of an older start does not replace the newer one', async t => {
  // Guards against requests to an upstream that is leaving: it restarts under
  // its id and drains, then the store receives an entry that the previous start
  // had sent. Entries were applied in the order of arrival.
  const {fleet, shop, first, second} = await startRestartFleet(t);
  fleet.publish(first, {born: SECOND_START_MILLIS, seq: 2, state: 'draining'});
  await waitUntil('known to drain', () =>
    hasLogged(shop, 'upstream-draining', first.upstream.id),
  );
  fleet.publish(first, {born: FIRST_START_MILLIS, seq: 41});
  // This later write shows when the late entry has been read.
  fleet.publish(second, {born: SECOND_START_MILLIS, state: 'draining'});
  await waitUntil('read', () =>
    hasLogged(shop, 'upstream-draining', second.upstream.id),
  );
  const answer = await fleet.send(shop, {attemptId: 'r1', path: '/a/1'});
  t.is(answer.statusCode, 503);
  t.is(countRuns([first, second], 'r1'), 0);
});

test('the sequence number of an older start does not hide that the newer one drains', async t => {
  // Guards against requests to an upstream long after it published that it
  // drains: it restarts under its id, counts its entries from one again, and
  // drains. Its entry was treated as older than those of the previous start.
  const {fleet, shop, first, second} = await startRestartFleet(t);
  fleet.publish(first, {born: SECOND_START_MILLIS, seq: 1});
  fleet.publish(first, {born: SECOND_START_MILLIS, seq: 2, state: 'draining'});
  fleet.publish(second, {born: FIRST_START_MILLIS, seq: 41, state: 'draining'});
  await waitUntil('both known to drain', () =>
    [first, second].every(({upstream}) =>
      hasLogged(shop, 'upstream-draining', upstream.id),
    ),
  );
  const answer = await fleet.send(shop, {attemptId: 'r1', path: '/a/1'});
  t.is(answer.statusCode, 503);
  t.is(countRuns([first, second], 'r1'), 0);
});

test('a restarted upstream gets requests, and the restart is logged', async t => {
  const {fleet, shop, first, second} = await startRestartFleet(t);
  fleet.publish(second, {born: FIRST_START_MILLIS, seq: 41, state: 'draining'});
  await first.upstream.restart();
  fleet.publish(first, {born: SECOND_START_MILLIS, coldLeftS: 3});
  await waitUntil('known to have restarted', () =>
    hasLogged(shop, 'upstream-restarted', first.upstream.id),
  );
  const answer = await fleet.send(shop, {attemptId: 'r1', path: '/a/1'});
  t.is(answer.statusCode, 200);
  t.is(countRuns([first], 'r1'), 1);
});

test('idle connections to an upstream are closed when it restarts', async t => {
  // Guards against an order without a response although its upstream is
  // healthy: the upstream crashes without closing its connections and restarts,
  // and the order is written to an idle connection of the previous start, which
  // is dead.
  const {fleet, shop, first, second} = await startRestartFleet(t);
  const closed = new Set<FleetHost>();
  for (const host of [first, second]) {
    host.upstream.setHandler(request => {
      request.socket.once('close', () => closed.add(host));
      request.respond(200, 'done');
    });
  }
  const orders = Array.from({length: 8}, (_, index) =>
    fleet.send(shop, orderRequest(`o${String(index)}`)),
  );
  await Promise.all(orders);
  t.true(first.upstream.runIds.length > 0);
  // An entry that expires and is published again belongs to the same start.
  fleet.withdraw(first);
  fleet.publish(first, {born: FIRST_START_MILLIS, seq: 41});
  await waitUntil('there again', () => countJoins(first, first) === 2);
  t.is(closed.size, 0);
  const publishedMillis = performance.now();
  fleet.publish(first, {born: SECOND_START_MILLIS, coldLeftS: 3});
  await waitUntil('closed', () => closed.has(first));
  // An idle connection is closed anyway after four seconds.
  t.true(performance.now() - publishedMillis < 2000);
  t.false(closed.has(second));
  const answer = await fleet.send(first, orderRequest('later'));
  t.is(answer.statusCode, 200);
});
