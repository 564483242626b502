import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import type {ClientResponse} from '../fakes/fleet_client.js';
import type {PlatformFleet} from '../fakes/platform_fleet.js';
import {createPath, ORDER_PATH, SAFE_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';

const KEY = 'k4x7acmefirst';
const OTHER_KEY = 'p9w2globexonly';

const LIMITED = {
  name: 'acme',
  apiKeys: [KEY],
  priority: 0,
  ratePerS: 20,
  burst: 20,
};
const UNLIMITED = {name: 'globex', apiKeys: [OTHER_KEY], priority: 0};

/**
 * Requests of an organisation that may run in five seconds, including
 * tolerances.
 */
const BOUND_COUNT = (20 * 5 + 20) * 1.25 + 20;

const SERVICES = ['atlas', 'orders', 'orders', 'atlas'];

interface Sent {
  readonly id: string;
  readonly answer: ClientResponse;
}

/** Sends requests to all nodes in turn, ten every 25 milliseconds. */
async function sendInTurn(
  fleet: PlatformFleet,
  {key, count, path = '/a/1'}: {key: string; count: number; path?: string},
): Promise<readonly Sent[]> {
  const sent: Promise<Sent>[] = [];
  const isOrder = path.startsWith('/order/');
  for (let index = 0; index < count; index += 1) {
    const host = fleet.hosts[index % fleet.hosts.length]!;
    const id = `${key}${path}${String(index)}`;
    const request = {
      attemptId: id,
      path,
      headers: {authorization: `Bearer ${key}`},
      ...(isOrder ? {method: 'POST', body: 'x'} : {}),
    };
    sent.push(fleet.send(host, request).then(answer => ({id, answer})));
    if (index % 10 === 9) await sleep(25);
  }
  return Promise.all(sent);
}

function runIdsOf(fleet: PlatformFleet): readonly string[] {
  return fleet.hosts.flatMap(host => host.upstream.runIds);
}

test('all nodes together reject requests of an organisation over its quota', async t => {
  const fleet = await startFleet(t, {
    services: SERVICES,
    paths: [SAFE_PATH],
    tenants: [LIMITED, UNLIMITED],
  });
  const [sent, others] = await Promise.all([
    sendInTurn(fleet, {key: KEY, count: 600}),
    sendInTurn(fleet, {key: OTHER_KEY, count: 100}),
  ]);
  const refused = sent.filter(({answer}) => answer.statusCode === 429);
  const served = sent.filter(({answer}) => answer.statusCode === 200);
  t.is(refused.length + served.length, sent.length);
  t.true(served.length <= BOUND_COUNT, String(served.length));
  t.true(served.length >= 30, String(served.length));
  for (const {answer} of refused) {
    t.true(Number(answer.headers['retry-after']) > 0);
  }
  const runIds = new Set(runIdsOf(fleet));
  t.deepEqual(
    refused.filter(({id}) => runIds.has(id)),
    [],
  );
  t.true(others.every(({answer}) => answer.statusCode === 200));
});

test('at its quota the urgent requests of an organisation go first', async t => {
  const fleet = await startFleet(t, {
    services: SERVICES,
    paths: [createPath({priority: 2}), ORDER_PATH],
    tenants: [{...LIMITED, ratePerS: 100}],
  });
  // Reads and orders are served alike until the excess over the quota is
  // detected.
  await sendInTurn(fleet, {key: KEY, count: 250});
  const [reads, orders] = await Promise.all([
    sendInTurn(fleet, {key: KEY, count: 800}),
    sendInTurn(fleet, {key: KEY, count: 800, path: '/order/1'}),
  ]);
  const servedOf = (sent: readonly Sent[]): number =>
    sent.filter(({answer}) => answer.statusCode === 200).length;
  t.true(servedOf(orders) > 50, `${String(servedOf(orders))} orders`);
  t.true(
    servedOf(orders) > 4 * servedOf(reads),
    `${String(servedOf(orders))} orders, ${String(servedOf(reads))} reads`,
  );
});
