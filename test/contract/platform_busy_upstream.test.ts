/**
 * Upstreams that accept no further connections while they run requests.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {FleetHost, PlatformFleet} from '../fakes/platform_fleet.js';
import {createPath, ORDER_PATH, orderRequest} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

const WORK_MILLIS = 1500;

/** More than the interval at which a node probes an unreachable upstream. */
const PROBE_PAUSE_MILLIS = 200;

/** More failures in a row than a single lost packet explains. */
const REFUSED_COUNT = 3;

/** Several of them are placed at each upstream of a service with two. */
const SIMULTANEOUS_COUNT = 8;

/** Longer than the pause after which an unreachable upstream is probed again. */
const READ_TIMEOUT_S = 20;

const LONG_READ_PATH = createPath({timeoutS: READ_TIMEOUT_S});

const KINDS = [
  {kind: 'read', method: 'GET', path: '/a/1'},
  {kind: 'order', method: 'POST', path: '/order/1'},
] as const;

interface BusyFleet {
  readonly fleet: PlatformFleet;
  readonly entry: FleetHost;
  readonly busy: FleetHost;
}

/** Starts a fleet with one upstream of the routes' service, unless more are given. */
async function startBusyFleet(
  t: ExecutionContext,
  services: readonly string[] = ['shop', 'orders'],
): Promise<BusyFleet> {
  const fleet = await startFleet(t, {
    services,
    paths: [LONG_READ_PATH, ORDER_PATH],
  });
  const [entry, busy, ...others] = fleet.hosts;
  for (const {upstream} of [busy!, ...others]) {
    upstream.setHandler(request => {
      setTimeout(() => {
        request.respond(200, 'served');
      }, WORK_MILLIS);
    });
  }
  return {fleet, entry: entry!, busy: busy!};
}

/** Sends reads that find no connection, so that the node sees its upstream as unreachable. */
async function sendUnreachable({fleet, busy}: BusyFleet): Promise<void> {
  const sent: Promise<unknown>[] = [];
  for (let index = 0; index < REFUSED_COUNT; index += 1) {
    const attemptId = `refused-${String(index)}`;
    sent.push(fleet.send(busy, {attemptId, path: '/a/1'}));
    await sleep(PROBE_PAUSE_MILLIS);
  }
  await Promise.allSettled(sent);
}

/** Sends reads at once, so that several are placed before the first one fails. */
function sendSimultaneously(
  fleet: PlatformFleet,
  host: FleetHost,
  round = 0,
): Promise<unknown> {
  const sent = Array.from({length: SIMULTANEOUS_COUNT}, (_, index) =>
    fleet.send(host, {
      attemptId: `refused-${String(round)}-${String(index)}`,
      path: '/a/1',
    }),
  );
  return Promise.allSettled(sent);
}

for (const {kind, method, path} of KINDS) {
  for (const isStopping of [false, true]) {
    const title = isStopping ? `${kind}, entered at a stopping node,` : kind;
    test(`a running ${title} is answered though its upstream refuses connections`, async t => {
      // Guards against runs that are cut because connections of other requests failed.
      const context = await startBusyFleet(t);
      const {fleet, entry, busy} = context;
      const response = fleet.send(entry, {
        attemptId: 'running',
        method,
        path,
        ...(method === 'POST' ? {body: 'x'} : {}),
      });
      await waitUntil('run', () => busy.upstream.runIds.includes('running'));
      const stopped = isStopping ? entry.node.stop() : undefined;
      await busy.upstream.setConnectionPolicy('refuse');
      await sendUnreachable(context);
      t.true(
        busy.events.some(({event}) => event === 'own-upstream-lost'),
        'the node sees that connections fail',
      );
      t.like(await response, {statusCode: 200, body: 'served'});
      t.is(busy.upstream.abortedCount, 0);
      t.deepEqual(busy.upstream.runIds, ['running']);
      await stopped;
    });
  }
}

test('a running read moves to another upstream if its own may have ended', async t => {
  // Guards against reads that wait until their deadline for an upstream that has vanished.
  const services = ['shop', 'orders', 'orders'];
  const {fleet, entry} = await startBusyFleet(t, services);
  const [, ...candidates] = fleet.hosts;
  let silent: FleetHost | undefined;
  for (const host of candidates) {
    host.upstream.setHandler(request => {
      if (request.attemptId === 'running') silent ??= host;
      if (silent !== host) request.respond(200, 'served');
    });
  }
  let isAnswered = false;
  const response = fleet
    .send(entry, {
      attemptId: 'running',
      path: '/a/1',
      timeoutMillis: READ_TIMEOUT_S * 1000,
    })
    .finally(() => {
      isAnswered = true;
    });
  await waitUntil('run', () => silent !== undefined);
  await silent!.upstream.setConnectionPolicy('refuse');
  const others: Promise<unknown>[] = [];
  while (!isAnswered) {
    others.push(sendSimultaneously(fleet, silent!, others.length));
    await sleep(PROBE_PAUSE_MILLIS);
  }
  t.like(await response, {statusCode: 200, body: 'served'});
  await waitUntil(
    'first run cancelled',
    () => silent!.upstream.abortedCount === 1,
  );
  t.true(
    entry.events.some(
      ({event, fields}) =>
        event === 'retry' && fields['reason'] === 'upstream-lost',
    ),
  );
  await Promise.all(others);
});

test('a running order stays at its upstream though that may have ended', async t => {
  // Guards against orders that run twice.
  const services = ['shop', 'orders', 'orders'];
  const {fleet, entry} = await startBusyFleet(t, services);
  const [, ...candidates] = fleet.hosts;
  const response = fleet.send(entry, orderRequest('running'));
  const findBusy = (): FleetHost | undefined =>
    candidates.find(({upstream}) => upstream.runIds.includes('running'));
  await waitUntil('run', () => findBusy() !== undefined);
  const busy = findBusy()!;
  await busy.upstream.setConnectionPolicy('refuse');
  const others = sendSimultaneously(fleet, busy);
  t.like(await response, {statusCode: 200, body: 'served'});
  const runsCount = candidates
    .flatMap(({upstream}) => upstream.runIds)
    .filter(id => id === 'running').length;
  t.is(runsCount, 1);
  await others;
});
