import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {
  FleetHost,
  LoggedEvent,
  PlatformFleet,
} from '../fakes/platform_fleet.js';
import {createPath, SAFE_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

/** Time in which the other nodes receive what the entry node has received. */
const PROPAGATION_MILLIS = 500;

const REQUESTS_COUNT = 20;

const SERVICES = ['entry', 'orders', 'orders-next'];

/** Loses the only upstream of a service for good. */
async function loseUpstream(
  fleet: PlatformFleet,
  entry: FleetHost,
  lost: FleetHost,
): Promise<void> {
  await lost.upstream.setConnectionPolicy('refuse');
  fleet.withdraw(lost);
  await waitUntil('known to have left', () =>
    entry.events.some(
      ({event, fields}) =>
        event === 'upstream-left' && fields['upstream'] === lost.upstream.id,
    ),
  );
  await sleep(PROPAGATION_MILLIS);
}

/** Waits until a node has accepted as many configurations as were published. */
async function waitForVersion(entry: FleetHost, count: number): Promise<void> {
  await waitUntil('configuration accepted', () => {
    const accepted = entry.events.filter(
      ({event}) => event === 'configuration-accepted',
    );
    return accepted.length === count;
  });
}

let requestsCount = 0;

/** Sends requests one after the other; returns their status codes. */
async function sendAll(
  fleet: PlatformFleet,
  entry: FleetHost,
  path: string,
): Promise<readonly number[]> {
  const statusCodes: number[] = [];
  for (let index = 0; index < REQUESTS_COUNT; index += 1) {
    requestsCount += 1;
    const attemptId = `r${String(requestsCount)}`;
    const answer = await fleet.send(entry, {attemptId, path});
    statusCodes.push(answer.statusCode);
  }
  return statusCodes;
}

function assertAll(
  t: ExecutionContext,
  statusCodes: readonly number[],
  expected: number,
): void {
  t.deepEqual(new Set(statusCodes), new Set([expected]));
}

for (const isDropped of [false, true]) {
  const title = isDropped ? 'dropped and added again' : 'moved';
  test(`a route is served by its new service once its former one is lost: ${title}`, async t => {
    // Guards against a route that is refused for ever: what its requests reach was
    // remembered by its name, with the service that it no longer leads to.
    const fleet = await startFleet(t, {services: SERVICES, paths: [SAFE_PATH]});
    const [entry, orders, next] = fleet.hosts;
    assertAll(t, await sendAll(fleet, entry!, '/a/1'), 200);
    await loseUpstream(fleet, entry!, orders!);
    if (isDropped) fleet.configure([]);
    if (isDropped) await waitForVersion(entry!, 2);
    fleet.configure([createPath({service: 'orders-next'})]);
    await waitForVersion(entry!, isDropped ? 3 : 2);
    assertAll(t, await sendAll(fleet, entry!, '/a/1'), 200);
    t.is(next!.upstream.runIds.length, REQUESTS_COUNT);
  });
}

test('a weighted route is served by one service while the other one has no upstream', async t => {
  // Guards against the same within one version: most requests of the route reached the
  // service that is lost.
  const paths = [
    createPath({
      service: undefined,
      weightedServices: [
        {service: 'orders', weight: 19},
        {service: 'orders-next', weight: 1},
      ],
    }),
  ];
  const fleet = await startFleet(t, {services: SERVICES, paths});
  const [entry, orders, next] = fleet.hosts;
  for (let round = 0; round < 3; round += 1) {
    assertAll(t, await sendAll(fleet, entry!, '/a/1'), 200);
  }
  const beforeCount = next!.upstream.runIds.length;
  await loseUpstream(fleet, entry!, orders!);
  for (let round = 0; round < 3; round += 1) {
    await sendAll(fleet, entry!, '/a/1');
  }
  t.is(next!.upstream.runIds.length - beforeCount, 3);
});

/** A route of the shop, whose upstream makes a call to the orders for each request. */
async function startShop(t: ExecutionContext) {
  const fleet = await startFleet(t, {
    services: ['entry', 'orders', 'shop'],
    paths: [
      SAFE_PATH,
      createPath({name: 'r-3', prefix: '/shop/', service: 'shop'}),
    ],
  });
  const [entry, orders, shop] = fleet.hosts;
  shop!.upstream.setHandler(request => {
    const attemptId = `${request.attemptId}.1`;
    void fleet.send(shop!, {attemptId, path: '/a/1'}).then(({statusCode}) => {
      request.respond(statusCode === 200 ? 200 : 500, 'after a call');
    });
  });
  assertAll(t, await sendAll(fleet, entry!, '/shop/1'), 200);
  await loseUpstream(fleet, entry!, orders!);
  return {fleet, entry: entry!, shop: shop!};
}

test('a route whose upstreams no longer call a lost service is served again', async t => {
  // Guards against a route that is refused for ever: its call tree requires a service
  // without upstreams, and only requests that are admitted correct the tree.
  const {fleet, entry, shop} = await startShop(t);
  shop.upstream.setHandler(request => {
    request.respond(200, 'without a call');
  });
  assertAll(t, await sendAll(fleet, entry, '/shop/1'), 200);
  t.is(entry.events.filter(isProbe).length, 1);
});

test('one request is admitted while a route needs a lost service', async t => {
  // Guards against work for requests that cannot complete.
  const {fleet, entry, shop} = await startShop(t);
  const beforeCount = shop.upstream.runIds.length;
  const statusCodes = await sendAll(fleet, entry, '/shop/1');
  t.is(shop.upstream.runIds.length - beforeCount, 1);
  t.deepEqual(statusCodes, [
    500,
    ...Array.from({length: REQUESTS_COUNT - 1}, () => 503),
  ]);
});

function isProbe({event}: LoggedEvent): boolean {
  return event === 'call-tree-probe';
}
