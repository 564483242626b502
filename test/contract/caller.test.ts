/**
 * Contract of the caller interface: what callers may send and how they are
 * told what is wrong with it.
 */
import {connect} from 'node:net';
import test from 'ava';
import type {TestFleet} from '../fakes/in_process_fleet.js';
import {sendAsCaller, startTestFleet} from '../fakes/in_process_fleet.js';
import {createPolicyBytes} from '../fakes/policy_documents.js';
import {waitUntil} from '../fakes/wait_until.js';

const PLACES = [
  {name: 'desk-1', service: 'desk', zone: 'za'},
  {name: 'desk-2', service: 'desk', zone: 'za'},
];

async function withFleet(
  run: (fleet: TestFleet, port: number) => Promise<void>,
): Promise<void> {
  const policy = createPolicyBytes(3, draft => {
    draft.bodies.requestBytes = 1_000;
  });
  const fleet = await startTestFleet(policy, PLACES);
  try {
    await run(fleet, fleet.host('desk-1').path.callerPort);
  } finally {
    await fleet.dispose();
  }
}

function executionsCount(fleet: TestFleet): number {
  return fleet.hosts.reduce(
    (sum, host) => sum + host.upstream.executions.length,
    0,
  );
}

/** Sends raw bytes and returns everything received until the end. */
async function sendRaw(port: number, bytes: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, '127.0.0.1', () => socket.write(bytes));
    let received = '';
    socket.on('data', chunk => {
      received += chunk.toString('latin1');
    });
    socket.on('close', () => {
      resolve(received);
    });
    socket.on('error', reject);
  });
}

test('a read is answered whole, with its outcome, version and retries', async t => {
  await withFleet(async (_fleet, port) => {
    const answer = await sendAsCaller({
      port,
      service: 'desk',
      path: '/orders/7?full=1',
      headers: {traceparent: '00-aa-bb-01'},
    });
    t.is(answer.statusCode, 200);
    t.is(answer.body, '/orders/7?full=1|');
    t.is(answer.headers['fulmarhollow-outcome'], 'ran');
    t.is(answer.headers['fulmarhollow-policy-version'], '3');
    t.is(answer.headers['fulmarhollow-retries-spent'], '0');
  });
});

test('two callers with one path and different bodies get their own answers', async t => {
  // Symptom: a caller reads the answer to another caller's request.
  // Sequence: many requests with equal paths share connections between nodes
  // and to upstreams while answers come back in another order.
  // Cause: an answer is matched to a request by anything but its connection.
  const policy = createPolicyBytes(3, draft => {
    const route = draft.services[0]?.routes[0];
    if (route !== undefined) {
      route.isKeyRequired = false;
      route.repeat = 'idempotent';
    }
  });
  const fleet = await startTestFleet(policy, PLACES);
  for (const host of fleet.hosts) {
    host.upstream.setScript((request, response, body) => {
      const delayMillis = Number(body.toString('utf8')) % 3;
      setTimeout(() => response.end(`answer to ${String(body)}`), delayMillis);
      t.is(request.method, 'POST');
    });
  }
  const port = fleet.host('desk-1').path.callerPort;
  const answers = await Promise.all(
    Array.from({length: 40}, (_, index) =>
      sendAsCaller({
        port,
        service: 'desk',
        method: 'POST',
        path: '/orders',
        body: String(index),
      }),
    ),
  );
  answers.forEach((answer, index) => {
    t.is(answer.body, `answer to ${String(index)}`);
  });
  await fleet.dispose();
});

interface BadRequestCase {
  readonly title: string;
  readonly method?: string;
  readonly service?: string;
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly statusCode: number;
  readonly reason: string;
}

const BAD_REQUESTS: readonly BadRequestCase[] = [
  {
    title: 'unknown service',
    service: 'nowhere',
    statusCode: 404,
    reason: 'unknown-service',
  },
  {
    title: 'unknown path',
    path: '/nothing',
    statusCode: 404,
    reason: 'unknown-route',
  },
  {
    title: 'method without a route',
    method: 'DELETE',
    statusCode: 404,
    reason: 'unknown-route',
  },
  {
    title: 'order without a key',
    method: 'POST',
    path: '/orders',
    statusCode: 400,
    reason: 'key-required',
  },
  {
    title: 'key with a space',
    method: 'POST',
    path: '/orders',
    headers: {'idempotency-key': 'a b'},
    statusCode: 400,
    reason: 'key-malformed',
  },
  {
    title: 'key too long',
    method: 'POST',
    path: '/orders',
    headers: {'idempotency-key': 'k'.repeat(201)},
    statusCode: 400,
    reason: 'key-malformed',
  },
  {
    title: 'timeout that is no number',
    headers: {'fulmarhollow-timeout-ms': 'soon'},
    statusCode: 400,
    reason: 'malformed-request',
  },
  {
    title: 'body too large',
    method: 'POST',
    path: '/orders',
    headers: {'idempotency-key': 'k1'},
    body: 'x'.repeat(1_001),
    statusCode: 413,
    reason: 'body-too-large',
  },
];

for (const bad of BAD_REQUESTS) {
  test(`refused as not run: ${bad.title}`, async t => {
    await withFleet(async (fleet, port) => {
      const answer = await sendAsCaller({
        port,
        service: bad.service ?? 'desk',
        method: bad.method,
        path: bad.path ?? '/orders/7',
        headers: bad.headers,
        body: bad.body,
      });
      const body = JSON.parse(answer.body) as Record<string, unknown>;
      t.is(answer.statusCode, bad.statusCode);
      t.is(answer.headers['fulmarhollow-outcome'], 'not-run');
      t.is(answer.headers['fulmarhollow-reason'], bad.reason);
      t.is(body.reason, bad.reason);
      t.is(body.step, 'entry');
      t.is(body.peer, 'desk-1');
      t.is(answer.headers['retry-after'], undefined);
      t.is(executionsCount(fleet), 0);
    });
  });
}

const RAW_CASES: readonly (readonly [title: string, bytes: string])[] = [
  ['no HTTP at all', 'hello\r\n\r\n'],
  ['header without a colon', 'GET / HTTP/1.1\r\nhost desk\r\n\r\n'],
  [
    'two lengths',
    'POST /orders HTTP/1.1\r\nhost: desk\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab',
  ],
  [
    'headers beyond the bound',
    `GET /orders/7 HTTP/1.1\r\nhost: desk\r\nx: ${'y'.repeat(100_000)}\r\n\r\n`,
  ],
];

for (const [title, bytes] of RAW_CASES) {
  test(`malformed input is told and disturbs no other request: ${title}`, async t => {
    await withFleet(async (fleet, port) => {
      for (const host of fleet.hosts) {
        host.upstream.setScript((_request, response) => {
          setTimeout(() => response.end('slow'), 50);
        });
      }
      const other = sendAsCaller({port, service: 'desk', path: '/orders/7'});
      const received = await sendRaw(port, bytes);
      t.regex(received, /^HTTP\/1\.1 4\d\d /);
      t.regex(received, /fulmarhollow-outcome: not-run/);
      t.is((await other).body, 'slow');
      t.is(fleet.host('desk-1').metrics.countOf('connection.malformed'), 1);
    });
  });
}

test('context headers of a caller have no effect', async t => {
  // Symptom: a caller raises its own class or gets retries it has no right to.
  // Sequence: it sends the headers that nodes use among themselves.
  // Cause: a listener trusts headers that any client can set.
  await withFleet(async (fleet, port) => {
    const answer = await sendAsCaller({
      port,
      service: 'desk',
      path: '/orders/7',
      headers: {
        'fulmarhollow-call': 'v=1&rid=x&grant=900&cl=0',
        'fulmarhollow-context': 'forged',
        'fulmarhollow-outcome': 'forged',
      },
    });
    t.is(answer.statusCode, 200);
    const executions = fleet.hosts.flatMap(host => host.upstream.executions);
    t.is(executions.length, 1);
    t.not(executions[0]?.headers['fulmarhollow-context'], 'forged');
    t.is(executions[0]?.headers['fulmarhollow-call'], undefined);
    t.is(executions[0]?.headers['fulmarhollow-outcome'], undefined);
  });
});

test('a caller that goes away cancels its request at the upstream', async t => {
  // Symptom: an upstream works for callers that left long ago.
  // Sequence: the caller closes its connection while the upstream executes.
  // Cause: nothing carries the cancellation down the chain.
  await withFleet(async (fleet, port) => {
    const started = new Promise<void>(resolve => {
      for (const host of fleet.hosts) {
        host.upstream.setScript(() => {
          resolve();
        });
      }
    });
    const socket = connect(port, '127.0.0.1', () => {
      socket.write('GET /orders/7 HTTP/1.1\r\nhost: desk\r\n\r\n');
    });
    await started;
    socket.destroy();
    const cancelled = (): number =>
      fleet.hosts.reduce(
        (sum, host) => sum + host.upstream.cancelledCount(),
        0,
      );
    while (cancelled() === 0) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    t.is(cancelled(), 1);
    t.is(executionsCount(fleet), 1);
  });
});

test('the calls of a request that was given up are cancelled too', async t => {
  // Symptom: services at the bottom work for callers that left long ago.
  // Sequence: the caller closes its connection; its upstream does not notice
  // and its own call deeper into the graph goes on.
  // Cause: the cancellation ends at the first upstream of the chain.
  const policy = createPolicyBytes(3, draft => {
    for (const service of draft.services) {
      service.progressTimeoutMillis = 50_000;
      for (const route of service.routes) route.deadlineMillis = 50_000;
    }
  });
  const fleet = await startTestFleet(policy, PLACES);
  t.teardown(() => fleet.dispose());
  const childStarted = new Promise<void>(resolve => {
    for (const {upstream, path} of fleet.hosts) {
      upstream.setScript(request => {
        if (request.url === '/orders/child') {
          resolve();
          return;
        }
        const context = String(request.headers['fulmarhollow-context']);
        void sendAsCaller({
          port: path.localPort,
          service: 'desk',
          path: '/orders/child',
          headers: {'fulmarhollow-context': context},
        });
      });
    }
  });
  const socket = connect(
    fleet.host('desk-2').path.callerPort,
    '127.0.0.1',
    () => {
      socket.write('GET /orders/7 HTTP/1.1\r\nhost: desk\r\n\r\n');
    },
  );
  await childStarted;
  socket.destroy();
  await waitUntil('both executions are cancelled', () => {
    const counts = fleet.hosts.map(host => host.upstream.cancelledCount());
    return counts.reduce((sum, count) => sum + count, 0) === 2;
  });
  t.is(executionsCount(fleet), 2);
});
