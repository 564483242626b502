import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {FLEET_HOST_NAME} from '../fakes/fleet_client.js';
import {
  createPath,
  isReady,
  ORDER_PATH,
  orderRequest,
  SAFE_PATH,
} from '../fakes/platform_fleet.js';
import {signatureOf} from '../fakes/fake_upstream.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

test('a request reaches an upstream of its service unchanged', async t => {
  const fleet = await startFleet(t, {
    services: ['atlas', 'orders'],
    paths: [SAFE_PATH, ORDER_PATH],
  });
  const [atlas, orders] = fleet.hosts;
  let seen: http.IncomingHttpHeaders = {};
  let seenBody = '';
  orders!.upstream.setHandler(request => {
    seen = request.headers;
    seenBody = `${request.method} ${request.target} ${request.body}`;
    request.respond(201, 'made');
  });
  const answer = await fleet.send(atlas!, {
    attemptId: 'c1',
    method: 'POST',
    path: '/order/1?x=%20y',
    body: 'two maps',
    timeoutMillis: 4000,
    headers: {
      'caller-service': 'forged',
      'expect-instance': 'forged',
      'fulmarhollow-origin': 'forged',
      'x-kept': 'yes',
      connection: 'close, x-dropped',
      'x-dropped': 'no',
    },
  });
  t.is(answer.statusCode, 201);
  t.is(answer.body, 'made');
  t.is(answer.headers['response-signature'], signatureOf('i-2', 'c1'));
  t.deepEqual(
    Object.keys(answer.headers).filter(name => name.startsWith('fulmar')),
    [],
  );
  t.is(seenBody, 'POST /order/1?x=%20y two maps');
  t.like(seen, {
    host: FLEET_HOST_NAME,
    'attempt-id': 'c1',
    'caller-service': 'atlas',
    'expect-instance': 'i-2',
    'x-kept': 'yes',
  });
  t.is(seen['x-dropped'], undefined);
  // Nodes exchange no data in headers, so none can be forged.
  t.is(seen['fulmarhollow-origin'], 'forged');
  t.true(Number(seen['timeout-ms']) > 0 && Number(seen['timeout-ms']) <= 4000);
});

test('a chunked body arrives complete', async t => {
  const fleet = await startFleet(t, {
    services: ['atlas', 'orders'],
    paths: [ORDER_PATH],
  });
  const [atlas, orders] = fleet.hosts;
  let seenBody = '';
  orders!.upstream.setHandler(request => {
    seenBody = request.body;
    request.respond(200, '');
  });
  const answer = await fleet.send(atlas!, {
    attemptId: 'c1',
    method: 'POST',
    path: '/order/1',
    body: 'x'.repeat(30_000),
    headers: {'transfer-encoding': 'chunked'},
  });
  t.is(answer.statusCode, 200);
  t.is(seenBody.length, 30_000);
});

test('a request without a route gets 404, without a configuration 503', async t => {
  const fleet = await startFleet(t, {services: ['orders']});
  const [host] = fleet.hosts;
  const early = await fleet.send(host!, {attemptId: 'c1', path: '/a/1'});
  t.is(early.statusCode, 503);
  t.true(Number(early.headers['retry-after']) > 0);
  t.false(isReady(host!));
  fleet.configure([SAFE_PATH]);
  await waitUntil('ready', () => isReady(host!));
  const unknown = await fleet.send(host!, {attemptId: 'c2', path: '/b/1'});
  t.is(unknown.statusCode, 404);
  const known = await fleet.send(host!, {attemptId: 'c3', path: '/a/1'});
  t.is(known.statusCode, 200);
});

test('draining and departed upstreams get no new requests', async t => {
  const fleet = await startFleet(t, {
    services: ['orders', 'orders', 'atlas'],
    paths: [SAFE_PATH],
  });
  const [first, second, atlas] = fleet.hosts;
  fleet.publish(first!, {state: 'draining'});
  await waitUntil('drain applied at all nodes', () =>
    fleet.hosts.every(host =>
      host.events.some(({event}) => event === 'upstream-draining'),
    ),
  );
  for (let index = 0; index < 10; index += 1) {
    await fleet.send(atlas!, {attemptId: `a${String(index)}`, path: '/a/1'});
  }
  t.is(first!.upstream.runIds.length, 0);
  t.is(second!.upstream.runIds.length, 10);
  fleet.withdraw(second!);
  await waitUntil('left', () =>
    atlas!.events.some(({event}) => event === 'upstream-left'),
  );
  const none = await fleet.send(atlas!, {attemptId: 'b', path: '/a/1'});
  t.is(none.statusCode, 503);
});

test('a request is cancelled when its client disconnects', async t => {
  // Guards against upstreams that keep executing requests of disconnected clients: the
  // close of the response was treated as its end, so only the deadline cancelled them.
  const fleet = await startFleet(t, {
    services: ['atlas', 'orders'],
    paths: [createPath({timeoutS: 120})],
  });
  const [atlas, orders] = fleet.hosts;
  orders!.upstream.setHandler(() => undefined);
  const request = http.get({
    host: atlas!.address,
    port: fleet.outboundPort,
    path: '/a/1',
    headers: {
      host: FLEET_HOST_NAME,
      'attempt-id': 'c1',
      'timeout-ms': '120000',
    },
  });
  request.on('error', () => undefined);
  await waitUntil('in progress', () => orders!.upstream.runIds.length === 1);
  request.destroy();
  await waitUntil('aborted', () => orders!.upstream.abortedCount === 1);
  t.pass();
});

test('a request gets 504 at the timeout of its route and is cancelled', async t => {
  const fleet = await startFleet(t, {
    services: ['atlas', 'orders'],
    paths: [createPath({timeoutS: 0.3}), ORDER_PATH],
  });
  const [atlas, orders] = fleet.hosts;
  orders!.upstream.setHandler(() => undefined);
  const answer = await fleet.send(atlas!, {attemptId: 'c1', path: '/a/1'});
  t.is(answer.statusCode, 504);
  await waitUntil('aborted', () => orders!.upstream.abortedCount === 1);
});

test('pipelined requests are answered in order', async t => {
  const fleet = await startFleet(t, {
    services: ['atlas', 'orders'],
    paths: [SAFE_PATH],
  });
  const [atlas, orders] = fleet.hosts;
  orders!.upstream.setHandler(request => {
    const delayMillis = request.attemptId === 'c0' ? 80 : 1;
    setTimeout(() => {
      request.respond(200, `[${request.attemptId}]`);
    }, delayMillis);
  });
  const socket = net.connect(fleet.outboundPort, atlas!.address);
  let received = '';
  socket.on('data', chunk => {
    received += chunk.toString();
  });
  for (let index = 0; index < 5; index += 1) {
    socket.write(
      `GET /a/1 HTTP/1.1\r\nhost: ${FLEET_HOST_NAME}\r\nattempt-id: c${String(index)}\r\ntimeout-ms: 9000\r\n\r\n`,
    );
  }
  await waitUntil('all', () => received.includes('[c4]'));
  socket.destroy();
  t.deepEqual(received.match(/\[c\d\]/g), [
    '[c0]',
    '[c1]',
    '[c2]',
    '[c3]',
    '[c4]',
  ]);
});

test('an upstream never executes more requests than it has slots', async t => {
  const fleet = await startFleet(t, {
    services: ['orders', 'atlas'],
    paths: [SAFE_PATH],
    slots: 3,
  });
  const [orders, atlas] = fleet.hosts;
  orders!.upstream.setHandler(request => {
    setTimeout(() => {
      request.respond(200, '');
    }, 20);
  });
  const answers = await Promise.all(
    Array.from({length: 40}, (_, index) =>
      fleet.send(index % 2 === 0 ? orders! : atlas!, {
        attemptId: `c${String(index)}`,
        path: '/a/1',
      }),
    ),
  );
  t.is(orders!.upstream.maxConcurrentCount, 3);
  for (const {statusCode, headers} of answers) {
    if (statusCode === 503) t.true(Number(headers['retry-after']) > 0);
    else t.is(statusCode, 200);
  }
});

test('a refused order is not executed', async t => {
  const fleet = await startFleet(t, {
    services: ['orders', 'atlas'],
    paths: [createPath({prefix: '/order/', kind: 'unsafe', sloS: 0.2})],
    slots: 1,
  });
  const [orders, atlas] = fleet.hosts;
  orders!.upstream.setHandler(request => {
    setTimeout(() => {
      request.respond(200, '');
    }, 60);
  });
  const ids = Array.from({length: 20}, (_, index) => `c${String(index)}`);
  const answers = await Promise.all(
    ids.map(attemptId =>
      fleet.send(atlas!, {
        attemptId,
        method: 'POST',
        path: '/order/1',
        body: 'x',
      }),
    ),
  );
  const refused = ids.filter((_, index) => answers[index]?.statusCode === 503);
  t.true(refused.length > 0);
  const runs = orders!.upstream.runIds;
  t.deepEqual(
    refused.filter(id => runs.includes(id)),
    [],
  );
  t.is(new Set(runs).size, runs.length);
});

test('requests are served without the store, and changes apply when it is back', async t => {
  const fleet = await startFleet(t, {
    services: ['orders', 'atlas'],
    paths: [SAFE_PATH],
  });
  const [, atlas] = fleet.hosts;
  for (const mode of ['busy', 'reset', 'silent'] as const) {
    fleet.store.setMode(mode);
    const answer = await fleet.send(atlas!, {attemptId: mode, path: '/a/1'});
    t.is(answer.statusCode, 200);
    t.true(isReady(atlas!));
  }
  fleet.configure([createPath({prefix: '/new/'})]);
  fleet.store.compact();
  fleet.store.setMode('healthy');
  const isAccepted = (): boolean =>
    atlas!.events.filter(({event}) => event === 'configuration-accepted')
      .length === 2;
  await waitUntil('accepted', isAccepted);
  const answer = await fleet.send(atlas!, {attemptId: 'n', path: '/new/1'});
  t.is(answer.statusCode, 200);
});

test('an unfinished request of a disconnected client has no effect', async t => {
  const fleet = await startFleet(t, {
    services: ['orders'],
    paths: [ORDER_PATH],
  });
  const [host] = fleet.hosts;
  const socket = net.connect(fleet.outboundPort, host!.address);
  await once(socket, 'connect');
  socket.write(
    `POST /order/1 HTTP/1.1\r\nhost: ${FLEET_HOST_NAME}\r\nattempt-id: c1\r\ncontent-length: 100\r\n\r\nhalf`,
  );
  await sleep(50);
  socket.destroy();
  const after = await fleet.send(host!, orderRequest('c2'));
  t.is(after.statusCode, 200);
  t.deepEqual(host!.upstream.runIds, ['c2']);
});
