import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {FleetHost, PlatformFleet} from '../fakes/platform_fleet.js';
import {
  ORDER_PATH,
  createPath,
  orderRequest,
  SAFE_PATH,
} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';

const ORDERS_COUNT = 40;

/** Shortest time from the end of an upstream until another service has its address. */
const REUSE_MILLIS = 100;

const BILLING_PATH = createPath({
  name: 'r-3',
  prefix: '/bill/',
  service: 'billing',
});

/** Starts an upstream of `billing` at the address of one of `orders`, and sends orders. */
async function sendAfterReuse(
  t: ExecutionContext,
  prepare: (fleet: PlatformFleet, host: FleetHost) => Promise<void>,
): Promise<void> {
  const fleet = await startFleet(t, {
    services: ['shop', 'orders', 'orders', 'billing'],
    paths: [SAFE_PATH, ORDER_PATH, BILLING_PATH],
    addressReuseMillis: REUSE_MILLIS,
  });
  const [shop, reused, other] = fleet.hosts;
  await sleep(REUSE_MILLIS);
  await prepare(fleet, reused!);
  const answers = await Promise.all(
    Array.from({length: ORDERS_COUNT}, (_, index) =>
      fleet.send(shop!, orderRequest(`o${String(index)}`)),
    ),
  );
  t.deepEqual(reused!.upstream.runIds, []);
  for (const {statusCode} of answers) {
    t.true(statusCode === 200 || statusCode === 503, String(statusCode));
  }
  const servedCount = answers.filter(each => each.statusCode === 200).length;
  t.is(other!.upstream.runIds.length, servedCount);
}

test('an order is not run by another service that has the address of its upstream', async t => {
  // Guards against orders that are run and answered by a service to which no route leads:
  // its upstream starts at the address of a crashed one whose entry is still listed.
  await sendAfterReuse(t, async (fleet, host) => {
    fleet.writeService(host, 'billing');
    await host.upstream.restart('i-9');
  });
});

test('an order is not run by another service while the settings name the former one', async t => {
  // Guards against the same if the settings are changed after the upstream has started.
  await sendAfterReuse(t, async (_, host) => {
    await host.upstream.restart('i-9');
  });
});

test('an order is not run by another service once its upstream is published', async t => {
  await sendAfterReuse(t, async (fleet, host) => {
    fleet.writeService(host, 'billing');
    await host.upstream.restart('i-9');
    fleet.publish({...host, service: 'billing'});
  });
});
