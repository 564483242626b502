import test from 'ava';
import {ORDER_PATH, orderRequest, SAFE_PATH} from '../fakes/platform_fleet.js';
import {signatureOf} from '../fakes/fake_upstream.js';
import {startFleet} from '../fakes/test_fleet.js';

test('a request with a lost response is retried if repeatable, otherwise fails', async t => {
  // Guards against an order that is charged twice: the upstream executes it and its
  // connection is reset before the response, which was treated as a request that did not
  // arrive.
  const fleet = await startFleet(t, {
    services: ['orders', 'orders', 'atlas'],
    paths: [SAFE_PATH, ORDER_PATH],
  });
  const [first, second, atlas] = fleet.hosts;
  const runs = (id: string): number =>
    [first, second].reduce(
      (sum, host) =>
        sum + host!.upstream.runIds.filter(run => run === id).length,
      0,
    );
  for (const host of [first!, second!]) {
    host.upstream.setHandler(request => {
      if (runs(request.attemptId) > 1) request.respond(200, 'second');
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

test('an order is sent to another host if it was certainly not executed', async t => {
  const fleet = await startFleet(t, {
    services: ['orders', 'orders', 'atlas'],
    paths: [ORDER_PATH],
  });
  const [first, second, atlas] = fleet.hosts;
  await first!.upstream.close();
  for (let index = 0; index < 12; index += 1) {
    const answer = await fleet.send(atlas!, orderRequest(`c${String(index)}`));
    t.is(answer.statusCode, 200);
  }
  t.is(new Set(second!.upstream.runIds).size, 12);
  t.is(second!.upstream.runIds.length, 12);
});

test('a duplicate response of an upstream never reaches a client', async t => {
  // Guards against a client that gets another client's response: the upstream sends a
  // response twice on a keep-alive connection, and the copy is matched by its position to
  // the next request.
  const fleet = await startFleet(t, {
    services: ['atlas', 'orders'],
    paths: [SAFE_PATH],
  });
  const [atlas, orders] = fleet.hosts;
  orders!.upstream.setHandler(request => {
    const {attemptId, socket} = request;
    request.respond(200, attemptId);
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
  {title: 'not HTTP', bytes: () => 'not an answer\r\n\r\n'},
  {
    title: 'truncated body',
    bytes: id =>
      `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-signature: s\r\ncontent-length: 50\r\n\r\nhalf`,
  },
  {
    title: 'truncated chunks',
    bytes: id =>
      `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-signature: s\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab`,
  },
  {
    title: 'no signature',
    bytes: id =>
      `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\ncontent-length: 2\r\n\r\nok`,
  },
  {
    title: 'content encoding',
    bytes: id =>
      `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-signature: s\r\ncontent-encoding: gzip\r\ncontent-length: 2\r\n\r\nok`,
  },
  {
    title: 'a transfer coding that nodes do not decode',
    bytes: id =>
      `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-signature: s\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
  },
  {
    title: 'the id of another request',
    bytes: () =>
      'HTTP/1.1 200 OK\r\nattempt-id: other\r\nresponse-signature: s\r\ncontent-length: 2\r\n\r\nok',
  },
];

for (const {title, bytes} of BROKEN_ANSWERS) {
  test(`an order with a malformed response fails and is not retried: ${title}`, async t => {
    const fleet = await startFleet(t, {
      services: ['atlas', 'orders'],
      paths: [ORDER_PATH],
    });
    const [atlas, orders] = fleet.hosts;
    orders!.upstream.setHandler(({attemptId, socket}) => {
      socket.end(bytes(attemptId));
    });
    const answer = await fleet.send(atlas!, orderRequest('c1'));
    t.is(answer.statusCode, 502);
    t.is(answer.headers['response-signature'], undefined);
    t.deepEqual(orders!.upstream.runIds, ['c1']);
  });
}

test('an upstream failure is forwarded with its signature', async t => {
  const fleet = await startFleet(t, {
    services: ['orders'],
    paths: [ORDER_PATH],
  });
  const [host] = fleet.hosts;
  host!.upstream.setHandler(request => {
    request.respond(500, 'failed');
  });
  const answer = await fleet.send(host!, orderRequest('c1'));
  t.is(answer.statusCode, 500);
  t.is(answer.body, 'failed');
  t.is(answer.headers['response-signature'], signatureOf('i-1', 'c1'));
});

test('an order that an upstream reports as not executed is sent to another', async t => {
  const fleet = await startFleet(t, {
    services: ['orders', 'orders'],
    paths: [ORDER_PATH],
  });
  const [first, second] = fleet.hosts;
  first!.upstream.setHandler(request => {
    request.reject();
  });
  const answer = await fleet.send(first!, orderRequest('c1'));
  t.is(answer.statusCode, 200);
  t.deepEqual(second!.upstream.runIds, ['c1']);
});

test('an order that is offered again leaves a line with its evidence', async t => {
  const fleet = await startFleet(t, {
    services: ['orders', 'orders', 'shop'],
    paths: [SAFE_PATH, ORDER_PATH],
  });
  const [first, second, shop] = fleet.hosts;
  for (const {upstream} of [first!, second!]) {
    upstream.setHandler(request => {
      const isFirstRun =
        first!.upstream.runIds.length + second!.upstream.runIds.length === 1;
      if (isFirstRun) request.reject();
      else request.respond(200, 'served');
    });
  }
  const answer = await fleet.send(shop!, orderRequest('c1'));
  t.is(answer.statusCode, 200);
  const lines = shop!.events.filter(({event}) => event === 'order-not-run');
  t.like(lines, [{fields: {requestId: 'c1', evidence: 'rejected'}}]);
  const metrics = await shop!.metrics.text();
  t.regex(metrics, /orders_not_run_total\{evidence="rejected"\} 1\b/);
});

const UNFRAMED_RESPONSES = [
  {title: 'no framing', line: ''},
  {
    title: 'identity as transfer coding',
    line: 'transfer-encoding: identity\r\n',
  },
] as const;

for (const [title, services] of [
  ['local upstream', ['orders']],
  ['forwarded to another node', ['atlas', 'orders']],
] as const) {
  for (const {title: framingTitle, line} of UNFRAMED_RESPONSES) {
    test(`a response without a length is forwarded without one: ${title}, ${framingTitle}`, async t => {
      // Guards against a truncated map that looks complete: the upstream sends no length and
      // crashes midway, its connection closes as after a complete response, and the node
      // added the length of what it had received.
      const fleet = await startFleet(t, {services, paths: [SAFE_PATH]});
      const orders = fleet.hosts.at(-1)!;
      orders.upstream.setHandler(({attemptId, socket}) => {
        socket.end(
          `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\nresponse-signature: s\r\n${line}\r\nhalf`,
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
}
