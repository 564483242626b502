/**
 * Contract of the upstream interface: whatever an upstream does to its answer,
 * a caller gets the whole answer to its own request or a clear failure.
 */
import test from 'ava';
import {createHash} from 'node:crypto';
import type {CallerAnswer, TestFleet} from '../fakes/in_process_fleet.js';
import {sendAsCaller, startTestFleet} from '../fakes/in_process_fleet.js';
import {createPolicyBytes} from '../fakes/policy_documents.js';
import type {Script} from '../fakes/scripted_upstream.js';
import {echoScript, rawScript} from '../fakes/scripted_upstream.js';

const PLACES = [
  {name: 'desk-1', service: 'desk', zone: 'za'},
  {name: 'desk-2', service: 'desk', zone: 'za'},
];

/** Long enough for a busy machine; the tests about silence wait for it. */
const SILENCE_MILLIS = 1_500;
const BUFFERED_BYTES = 1_000;

const POLICY = createPolicyBytes(1, draft => {
  draft.retryBudget.minimumPerSecond = 50;
  draft.bodies.bufferedAnswerBytes = BUFFERED_BYTES;
  draft.keys.answerBytes = BUFFERED_BYTES;
  for (const service of draft.services) {
    service.progressTimeoutMillis = SILENCE_MILLIS;
    service.queueWaitMillis = 50;
    for (const route of service.routes) {
      route.isKeyRequired = false;
      route.retryBound = 3;
      route.deadlineMillis = 30_000;
    }
  }
});

async function withFleet(
  run: (fleet: TestFleet, port: number) => Promise<void>,
): Promise<void> {
  const fleet = await startTestFleet(POLICY, PLACES);
  try {
    await run(fleet, fleet.host('desk-1').path.callerPort);
  } finally {
    await fleet.dispose();
  }
}

/** Gives the faulty script to the first execution and echoes afterwards. */
function scriptFirst(fleet: TestFleet, faulty: Script): void {
  let isFirst = true;
  for (const host of fleet.hosts) {
    host.upstream.setScript((request, response, body) => {
      const script = isFirst ? faulty : echoScript;
      isFirst = false;
      script(request, response, body);
    });
  }
}

function executionsCount(fleet: TestFleet): number {
  return fleet.hosts.reduce(
    (sum, host) => sum + host.upstream.executions.length,
    0,
  );
}

const HEAD = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

/** Ways an answer that fits the buffer breaks off, at each kind of position. */
const BROKEN: readonly (readonly [title: string, script: Script])[] = [
  ['before the first byte', rawScript('')],
  ['within the status line', rawScript('HTTP/1.1 20')],
  ['within the headers', rawScript(`${HEAD}Content-Le`)],
  ['after the headers', rawScript(`${HEAD}Content-Length: 5\r\n\r\n`)],
  ['in the middle', rawScript(`${HEAD}Content-Length: 5\r\n\r\nab`)],
  ['before the last byte', rawScript(`${HEAD}Content-Length: 5\r\n\r\nabcd`)],
  [
    'reset in the middle',
    rawScript(`${HEAD}Content-Length: 5\r\n\r\nab`, true),
  ],
  ['chunked, within a chunk', rawScript(`${CHUNKED}5\r\nab`)],
  ['chunked, between chunks', rawScript(`${CHUNKED}2\r\nab\r\n`)],
  ['chunked, before the last chunk', rawScript(`${CHUNKED}2\r\nab\r\n0\r\n`)],
  [
    'no length and no chunks but a wrong digest',
    rawScript(
      `${HEAD}Content-Length: 2\r\nContent-Digest: sha-256=:AAAA:\r\n\r\nab`,
    ),
  ],
  ['not HTTP', rawScript('garbage\r\n\r\n')],
];

for (const [title, script] of BROKEN) {
  test(`a read whose answer breaks off is answered whole by another host: ${title}`, async t => {
    // Symptom: a caller takes a part of an answer for the whole.
    // Sequence: the upstream's connection ends ${title} of its answer.
    // Cause: an end of connection is taken for an end of message.
    await withFleet(async (fleet, port) => {
      scriptFirst(fleet, script);
      const answer = await sendAsCaller({
        port,
        service: 'desk',
        path: '/orders/7',
      });
      t.is(answer.statusCode, 200);
      t.is(answer.body, '/orders/7|');
      t.is(answer.headers['fulmarhollow-retries-spent'], '1');
      t.is(executionsCount(fleet), 2);
    });
  });

  test(`an order whose answer breaks off is not sent again: ${title}`, async t => {
    // Symptom: an order runs twice.
    // Sequence: the upstream executes it and its answer breaks off.
    // Cause: the layer repeats a request although its outcome is unknown.
    await withFleet(async (fleet, port) => {
      scriptFirst(fleet, script);
      const answer = await sendAsCaller({
        port,
        service: 'desk',
        method: 'POST',
        path: '/orders',
        body: 'order',
      });
      t.is(answer.headers['fulmarhollow-outcome'], 'unknown');
      t.true(answer.statusCode >= 500);
      t.not(answer.headers['retry-after'], undefined);
      t.is(executionsCount(fleet), 1);
    });
  });
}

test('an upstream that says it did not run an order lets another host run it', async t => {
  await withFleet(async (fleet, port) => {
    scriptFirst(fleet, (_request, response) => {
      response.writeHead(503, {'fulmarhollow-upstream-outcome': 'not-run'});
      response.end('busy');
    });
    const answer = await sendAsCaller({
      port,
      service: 'desk',
      method: 'POST',
      path: '/orders',
      body: 'order',
    });
    t.is(answer.statusCode, 200);
    t.is(answer.body, '/orders|order');
  });
});

test('a connection that goes silent is given up, and its late answer reaches nobody', async t => {
  // Symptom: a caller waits for good, or a later caller gets this answer.
  // Sequence: the upstream takes the request and says nothing; another request
  // follows; then the upstream answers the first one after all.
  // Cause: no bound on silence, or reuse of the connection after giving up.
  await withFleet(async (fleet, port) => {
    let answerLate: (() => void) | undefined;
    scriptFirst(fleet, (_request, response) => {
      answerLate = () => response.end('late');
    });
    const first = await sendAsCaller({
      port,
      service: 'desk',
      path: '/orders/1',
    });
    t.is(first.body, '/orders/1|');
    answerLate?.();
    const second = await sendAsCaller({
      port,
      service: 'desk',
      path: '/orders/2',
    });
    t.is(second.body, '/orders/2|');
    t.is(executionsCount(fleet), 3);
  });
});

function largeBody(): string {
  return 'x'.repeat(BUFFERED_BYTES * 500);
}

function sendRead(port: number): Promise<CallerAnswer> {
  return sendAsCaller({port, service: 'desk', path: '/orders/7'});
}

test('an answer beyond the buffer is streamed whole with its length', async t => {
  await withFleet(async (fleet, port) => {
    const body = largeBody();
    const digest = createHash('sha256').update(body).digest('base64');
    scriptFirst(fleet, (_request, response) => {
      response.writeHead(200, {
        'content-length': body.length,
        'content-digest': `sha-256=:${digest}:`,
      });
      response.end(body);
    });
    const answer = await sendRead(port);
    t.true(answer.isComplete);
    t.is(answer.headers['content-length'], String(body.length));
    t.is(answer.body, body);
  });
});

const BROKEN_STREAMS: readonly (readonly [title: string, script: Script])[] = [
  [
    'cut midway with a declared length',
    (_request, response) => {
      response.writeHead(200, {'content-length': largeBody().length});
      response.write(largeBody().slice(0, BUFFERED_BYTES * 100), () => {
        response.destroy();
      });
    },
  ],
  [
    'cut midway in chunks',
    (_request, response) => {
      response.write(largeBody().slice(0, BUFFERED_BYTES * 100), () => {
        response.destroy();
      });
    },
  ],
  [
    'silent midway',
    (_request, response) => {
      response.writeHead(200, {'content-length': largeBody().length});
      response.write(largeBody().slice(0, BUFFERED_BYTES * 100));
    },
  ],
  [
    'whole, but other bytes than its digest says',
    (_request, response) => {
      response.writeHead(200, {
        'content-length': largeBody().length,
        'content-digest': 'sha-256=:AAAA:',
      });
      response.end(largeBody());
    },
  ],
];

for (const [title, script] of BROKEN_STREAMS) {
  test(`a streamed answer never looks whole when it is not: ${title}`, async t => {
    // Symptom: a crew works with half a point cloud that looked complete.
    // Sequence: a large download is under way when its source fails.
    // Cause: the layer ends its own message cleanly after a broken source.
    await withFleet(async (fleet, port) => {
      scriptFirst(fleet, script);
      const answer = await sendRead(port);
      t.false(answer.isComplete);
      t.is(executionsCount(fleet), 1);
    });
  });
}

test('the upstream gets the token, the time left and the trace, not the hop headers', async t => {
  await withFleet(async (fleet, port) => {
    await sendAsCaller({
      port,
      service: 'desk',
      path: '/orders/7',
      headers: {
        traceparent: '00-aa-bb-01',
        'fulmarhollow-timeout-ms': '900',
        connection: 'close, x-hop',
        'x-hop': '1',
      },
    });
    const [execution] = fleet.hosts.flatMap(host => host.upstream.executions);
    const leftMillis = Number(
      execution?.headers['fulmarhollow-deadline-left-ms'],
    );
    t.is(execution?.headers.traceparent, '00-aa-bb-01');
    t.is(execution?.headers['x-hop'], undefined);
    t.truthy(execution?.headers['fulmarhollow-context']);
    t.true(leftMillis > 0 && leftMillis <= 900);
  });
});
