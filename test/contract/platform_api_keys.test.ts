import type http from 'node:http';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {ClientRequest} from '../fakes/fleet_client.js';
import type {
  FleetHost,
  FleetOptions,
  PlatformFleet,
} from '../fakes/platform_fleet.js';
import {
  createPath,
  isReady,
  ORDER_PATH,
  SAFE_PATH,
} from '../fakes/platform_fleet.js';
import {connectRawClient} from '../fakes/raw_client.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

const ACME_KEY = 'k4x7acmefirst';
const ACME_SECOND_KEY = 'k4x7acmesecond';
const GLOBEX_KEY = 'p9w2globexonly';

const ACME = {name: 'acme', apiKeys: [ACME_KEY, ACME_SECOND_KEY], priority: 1};
const GLOBEX = {name: 'globex', apiKeys: [GLOBEX_KEY], priority: 0};

const PUBLIC_PATH = createPath({name: 'r-3', prefix: '/open/', public: true});

const PATHS = [SAFE_PATH, ORDER_PATH, PUBLIC_PATH];

interface SeenRequest {
  readonly id: string;
  readonly headers: http.IncomingHttpHeaders;
}

/**
 * Starts a fleet of `atlas` and `orders` whose `orders` upstream records
 * requests.
 */
async function startFleetWithKeys(
  t: ExecutionContext,
  {tenants}: Pick<FleetOptions, 'tenants'> = {tenants: [ACME, GLOBEX]},
): Promise<{
  fleet: PlatformFleet;
  atlas: FleetHost;
  seen: readonly SeenRequest[];
}> {
  const fleet = await startFleet(t, {
    services: ['atlas', 'orders'],
    paths: PATHS,
    ...(tenants === undefined ? {} : {tenants}),
  });
  const [atlas, orders] = fleet.hosts;
  const seen: SeenRequest[] = [];
  orders!.upstream.setHandler(request => {
    seen.push({id: request.attemptId, headers: request.headers});
    request.respond(200, 'served');
  });
  return {fleet, atlas: atlas!, seen};
}

function withKey(request: ClientRequest, key: string): ClientRequest {
  const headers = {...request.headers, authorization: `Bearer ${key}`};
  return {...request, headers};
}

function read(attemptId: string, path = '/a/1'): ClientRequest {
  return {attemptId, path};
}

/** Waits until this version is active on all nodes. */
async function awaitVersion(
  fleet: PlatformFleet,
  version: number,
): Promise<void> {
  await waitUntil('version active', () =>
    fleet.hosts.every(({node}) => node.configuration()?.version === version),
  );
}

test('an upstream receives the organisation of a key, never the key', async t => {
  const {fleet, atlas, seen} = await startFleetWithKeys(t);
  const order = {attemptId: 'c3', method: 'POST', path: '/order/1', body: 'x'};
  await fleet.send(atlas, withKey(read('c1'), ACME_KEY));
  await fleet.send(atlas, withKey(read('c2'), ACME_SECOND_KEY));
  await fleet.send(atlas, withKey(order, GLOBEX_KEY));
  await fleet.send(atlas, withKey(read('c4', '/open/1'), GLOBEX_KEY));
  await fleet.send(atlas, withKey(read('c5', '/open/1'), 'unknown'));
  t.deepEqual(
    seen.map(({headers}) => headers['tenant']),
    ['acme', 'acme', 'globex', 'globex', undefined],
  );
  for (const {headers} of seen) t.is(headers.authorization, undefined);
  t.false(JSON.stringify(seen).includes(ACME_KEY));
});

test('a request without a valid key is rejected and not run', async t => {
  const {fleet, atlas, seen} = await startFleetWithKeys(t);
  const unusable: readonly (readonly string[])[] = [
    [],
    ['authorization: Bearer unknown'],
    ['authorization: Bearer'],
    ['authorization: Bearer '],
    [`authorization: Basic ${ACME_KEY}`],
    [`authorization: ${ACME_KEY}`],
    [`authorization: Bearer ${ACME_KEY} ${GLOBEX_KEY}`],
    [`authorization: Bearer ${ACME_KEY}, Bearer ${GLOBEX_KEY}`],
    [
      `authorization: Bearer ${ACME_KEY}`,
      `Authorization: Bearer ${GLOBEX_KEY}`,
    ],
    [`authorization: Bearer ${ACME_KEY.toUpperCase()}`],
    [`authorization: Bearer ${'k'.repeat(5000)}`],
    ['authorization: Bearer __proto__'],
  ];
  const client = await connectRawClient(t, atlas.address, fleet.outboundPort);
  for (const [index, lines] of unusable.entries()) {
    client.sendRequest(`c${String(index)}`, '/a/1', lines);
    await waitUntil(
      'answered',
      () => client.statusCodes.length === index + 1 || client.isClosed,
    );
  }
  t.deepEqual(
    client.statusCodes,
    unusable.map(() => 401),
  );
  const challenges = [
    ...client.received.matchAll(/www-authenticate: Bearer/gi),
  ];
  t.is(challenges.length, unusable.length);
  client.sendRequest('good', '/a/1', [`Authorization: bEaReR ${ACME_KEY}`]);
  await waitUntil('served', () => client.received.includes('served'));
  t.deepEqual(
    seen.map(({id}) => id),
    ['good'],
  );
});

test('an organisation header sent by a client is not forwarded', async t => {
  const {fleet, atlas, seen} = await startFleetWithKeys(t);
  const client = await connectRawClient(t, atlas.address, fleet.outboundPort);
  const forged = ['Tenant: globex', 'tenant: globex', 'TENANT: globex'];
  client.sendRequest('c1', '/a/1', [
    ...forged,
    `authorization: Bearer ${ACME_KEY}`,
  ]);
  client.sendRequest('c2', '/open/1', forged);
  await waitUntil('both', () => client.statusCodes.length === 2);
  const byId = new Map(seen.map(({id, headers}) => [id, headers['tenant']]));
  t.is(byId.get('c1'), 'acme');
  t.is(byId.get('c2'), undefined);
});

test('calls of an upstream need no key', async t => {
  const fleet = await startFleet(t, {
    services: ['atlas', 'orders', 'tiles'],
    paths: [
      ...PATHS,
      createPath({name: 'r-4', prefix: '/t/', service: 'tiles'}),
    ],
    tenants: [ACME],
  });
  const [atlas, orders, tiles] = fleet.hosts;
  const tenants: unknown[] = [];
  tiles!.upstream.setHandler(request => {
    tenants.push(request.headers['tenant']);
    request.respond(200, '');
  });
  orders!.upstream.setHandler(request => {
    const call = read(`${request.attemptId}.1`, '/t/1');
    void fleet.send(orders!, call).then(answer => {
      request.respond(answer.statusCode, '');
    });
  });
  const answer = await fleet.send(atlas!, withKey(read('c1'), ACME_KEY));
  t.is(answer.statusCode, 200);
  t.deepEqual(tenants, ['acme']);
  // An id that only resembles that of a call grants no access.
  const forged = await fleet.send(orders!, read('zz.1', '/t/1'));
  t.is(forged.statusCode, 401);
});

test('a key that a version removes is rejected from then on', async t => {
  const {fleet, atlas, seen} = await startFleetWithKeys(t);
  t.is(
    (await fleet.send(atlas, withKey(read('c1'), ACME_KEY))).statusCode,
    200,
  );
  const reduced = {...ACME, apiKeys: [ACME_SECOND_KEY]};
  fleet.configure(PATHS, {tenants: [reduced, GLOBEX]});
  await awaitVersion(fleet, 2);
  t.is(
    (await fleet.send(atlas, withKey(read('c2'), ACME_KEY))).statusCode,
    401,
  );
  const second = await fleet.send(atlas, withKey(read('c3'), ACME_SECOND_KEY));
  t.is(second.statusCode, 200);
  // An older version that is read late does not restore the key.
  fleet.configure(PATHS, {tenants: [ACME, GLOBEX], version: 1});
  await waitUntil('older version read', () =>
    atlas.events.some(({event}) => event === 'configuration-not-newer'),
  );
  t.is(
    (await fleet.send(atlas, withKey(read('c4'), ACME_KEY))).statusCode,
    401,
  );
  t.deepEqual(
    seen.map(({id}) => id),
    ['c1', 'c3'],
  );
});

test('a key added by a version is accepted with it', async t => {
  const {fleet, atlas} = await startFleetWithKeys(t, {tenants: [GLOBEX]});
  t.is(
    (await fleet.send(atlas, withKey(read('c1'), ACME_KEY))).statusCode,
    401,
  );
  fleet.configure(PATHS, {tenants: [ACME, GLOBEX]});
  await awaitVersion(fleet, 2);
  t.is(
    (await fleet.send(atlas, withKey(read('c2'), ACME_KEY))).statusCode,
    200,
  );
});

test('a node without a configuration responds with retry-after instead of rejecting a key', async t => {
  const fleet = await startFleet(t, {services: ['orders']});
  const [host] = fleet.hosts;
  t.false(isReady(host!));
  const answer = await fleet.send(host!, withKey(read('c1'), ACME_KEY));
  t.is(answer.statusCode, 503);
  t.true(Number(answer.headers['retry-after']) > 0);
});

test('keys are in no log line, state or metric of a node', async t => {
  const {fleet, atlas} = await startFleetWithKeys(t);
  await fleet.send(atlas, withKey(read('c1'), ACME_KEY));
  await fleet.send(atlas, withKey(read('c2'), 'unknownkeyofaclient'));
  const twice = {...GLOBEX, apiKeys: [ACME_KEY]};
  fleet.configure(PATHS, {tenants: [ACME, twice]});
  await waitUntil('invalid', () =>
    atlas.events.some(({event}) => event === 'configuration-invalid'),
  );
  const shown = fleet.hosts.map(({node, events}) =>
    JSON.stringify([node.state(), node.configuration(), events]),
  );
  const metrics = await Promise.all(
    fleet.hosts.map(host => host.metrics.text()),
  );
  for (const text of [...shown, ...metrics]) {
    for (const key of [ACME_KEY, ACME_SECOND_KEY, GLOBEX_KEY, 'unknownkey']) {
      t.false(text.includes(key));
    }
  }
});

test('without organisations the authorization header is forwarded like any other', async t => {
  const {fleet, atlas, seen} = await startFleetWithKeys(t, {});
  await fleet.send(atlas, withKey(read('c1'), ACME_KEY));
  t.is(seen[0]?.headers.authorization, `Bearer ${ACME_KEY}`);
});
