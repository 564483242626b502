import test from 'ava';
import {ORDER_PATH, orderRequest, SAFE_PATH} from '../fakes/platform_fleet.js';
import {signatureOf} from '../fakes/stand_in_backend.js';
import {startFleet} from '../fakes/test_fleet.js';

test('an answer that was lost: repeated if harmless, else reported', async t => {
  // Symptom: an order is charged twice. The upstream runs it and its connection
  // breaks before the answer. Cause: taken for a request that did not arrive.
  const fleet = await startFleet(t, {
    services: ['orders', 'orders', 'atlas'],
    paths: [SAFE_PATH, ORDER_PATH],
  });
  const [first, second, atlas] = fleet.hosts;
  const runs = (id: string): number =>
    [first, second].reduce(
      (sum, host) =>
        sum + host!.backend.runIds.filter(run => run === id).length,
      0,
    );
  for (const host of [first!, second!]) {
    host.backend.setBehaviour(request => {
      if (runs(request.attemptId) > 1) request.answer(200, 'second');
      else request.socket.resetAndDestroy();
    });
  }
  const safe = await fleet.send(atlas!, {attemptId: 'safe', path: '/a/1'});
  t.is(safe.statusCode, 200);
  t.is(runs('safe'), 2);
  const unsafe = await fleet.send(atlas!, orderRequest('unsafe'));
  t.is(unsafe.statusCode, 502);
  t.is(runs('unsafe'), 1);
});

test('an order goes on to another host if it provably did not run', async t => {
  const fleet = await startFleet(t, {
    services: ['orders', 'orders', 'atlas'],
    paths: [ORDER_PATH],
  });
  const [first, second, atlas] = fleet.hosts;
  await first!.backend.close();
  for (let index = 0; index < 12; index += 1) {
    const answer = await fleet.send(atlas!, orderRequest(`c${String(index)}`));
    t.is(answer.statusCode, 200);
  }
  t.is(new Set(second!.backend.runIds).size, 12);
  t.is(second!.backend.runIds.length, 12);
});

test('a second answer of an upstream never reaches a client', async t => {
  // Symptom: a member gets another member's answer. The upstream sends an
  // answer twice; on the kept connection the copy stands where the next answer
  // is expected. Cause: answers are matched by their place alone.
  const fleet = await startFleet(t, {
    services: ['atlas', 'orders'],
    paths: [SAFE_PATH],
  });
  const [atlas, orders] = fleet.hosts;
  orders!.backend.setBehaviour(request => {
    const {attemptId, socket} = request;
    request.answer(200, attemptId);
    const copy =
      'HTTP/1.1 200 OK\r\n' +
      `attempt-id: ${attemptId}\r\n` +
      `response-signature: ${signatureOf('i-2', attemptId)}\r\n` +
      `content-length: ${String(attemptId.length)}\r\n\r\n${attemptId}`;
    setImmediate(() => socket.write(copy));
  });
  for (let index = 0; index < 20; index += 1) {
    const attemptId = `c${String(index)}`;
    const answer = await fleet.send(atlas!, {attemptId, path: '/a/1'});
    if (answer.statusCode === 200) t.is(answer.body, attemptId);
    else t.is(answer.headers['response-signature'], undefined);
  }
});

interface BrokenAnswer {
  readonly title: string;
  readonly bytes: (attemptId: string) => string;
}

const BROKEN_ANSWERS: readonly BrokenAnswer[] = [
  {title: 'no HTTP', bytes: () => 'not an answer\r\n\r\n'},
  {
    title: 'body cut short',
    bytes: id =>
      `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-signature: s\r\ncontent-length: 50\r\n\r\nhalf`,
  },
  {
    title: 'chunks cut short',
    bytes: id =>
      `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-signature: s\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab`,
  },
  {
    title: 'no signature',
    bytes: id =>
      `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\ncontent-length: 2\r\n\r\nok`,
  },
  {
    title: 'an encoding',
    bytes: id =>
      `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-signature: s\r\ncontent-encoding: gzip\r\ncontent-length: 2\r\n\r\nok`,
  },
  {
    title: 'the id of another request',
    bytes: () =>
      'HTTP/1.1 200 OK\r\nattempt-id: other\r\nresponse-signature: s\r\ncontent-length: 2\r\n\r\nok',
  },
];

for (const {title, bytes} of BROKEN_ANSWERS) {
  test(`an order with a broken answer fails visibly, once: ${title}`, async t => {
    const fleet = await startFleet(t, {
      services: ['atlas', 'orders'],
      paths: [ORDER_PATH],
    });
    const [atlas, orders] = fleet.hosts;
    orders!.backend.setBehaviour(({attemptId, socket}) => {
      socket.end(bytes(attemptId));
    });
    const answer = await fleet.send(atlas!, orderRequest('c1'));
    t.is(answer.statusCode, 502);
    t.is(answer.headers['response-signature'], undefined);
    t.deepEqual(orders!.backend.runIds, ['c1']);
  });
}

test('a failure of the upstream is passed on with its signature', async t => {
  const fleet = await startFleet(t, {
    services: ['orders'],
    paths: [ORDER_PATH],
  });
  const [host] = fleet.hosts;
  host!.backend.setBehaviour(request => {
    request.answer(500, 'failed');
  });
  const answer = await fleet.send(host!, orderRequest('c1'));
  t.is(answer.statusCode, 500);
  t.is(answer.body, 'failed');
  t.is(answer.headers['response-signature'], signatureOf('i-1', 'c1'));
});

test('an upstream that says it did not run an order gives it to another', async t => {
  const fleet = await startFleet(t, {
    services: ['orders', 'orders'],
    paths: [ORDER_PATH],
  });
  const [first, second] = fleet.hosts;
  first!.backend.setBehaviour(({response}) => {
    response.writeHead(503, {'not-executed': '1'});
    response.end();
  });
  const answer = await fleet.send(first!, orderRequest('c1'));
  t.is(answer.statusCode, 200);
  t.deepEqual(second!.backend.runIds, ['c1']);
});

for (const [title, services] of [
  ['on this host', ['orders']],
  ['through another node', ['atlas', 'orders']],
] as const) {
  test(`an answer without a length is not given one: ${title}`, async t => {
    // Symptom: a member receives half a map that looks whole. The upstream
    // tells no length and crashes midway; its connection ends as if it were
    // done. Cause: the node measured what it had and vouched for it.
    const fleet = await startFleet(t, {services, paths: [SAFE_PATH]});
    const orders = fleet.hosts.at(-1)!;
    orders.backend.setBehaviour(({attemptId, socket}) => {
      socket.end(
        `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\nresponse-signature: s\r\n\r\nhalf`,
      );
    });
    const answer = await fleet.send(fleet.hosts[0]!, {
      attemptId: 'c1',
      path: '/a/1',
    });
    t.is(answer.body, 'half');
    t.is(answer.headers['content-length'], undefined);
    t.is(answer.headers['transfer-encoding'], undefined);
    t.is(answer.headers.connection, 'close');
  });
}
