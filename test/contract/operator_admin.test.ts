/**
 * Contract of the administration listener with operators and their tools.
 */
import {once} from 'node:events';
import * as net from 'node:net';

import type {ExecutionContext} from 'ava';
import test from 'ava';

import type {AdminServerOptions} from '../../src/connection/admin_server.js';
import {createAdminServer} from '../../src/connection/admin_server.js';
import {Readiness} from '../../src/process/readiness.js';
import {parseSettings} from '../../src/process/settings_schema.js';
import {createStateDump} from '../../src/process/state_dump.js';
import type {CompiledPolicy} from '../../src/version/policy.js';
import {createCountingMetrics} from '../fakes/counting_metrics.js';
import {settingsBytes} from '../fakes/minimal_settings.js';
import {
  BASE_POLICY,
  compileOrThrow,
  encodeDocument,
} from '../fakes/policy_documents.js';
import type {RawAnswer} from '../fakes/raw_http.js';
import {sendRaw} from '../fakes/raw_http.js';

const HOST_NAME = 'orderdesk-1';
const DOCUMENT = encodeDocument(BASE_POLICY);

interface Situation {
  readonly policy?: CompiledPolicy | undefined;
  readonly waitingFor?: readonly string[];
  readonly answerMillis?: number;
}

function createOptions(situation: Situation) {
  const parsed = parseSettings(settingsBytes());
  if (parsed.kind !== 'parsed') throw new Error('settings are not valid');
  const metrics = createCountingMetrics();
  metrics.increment('calls', {result: 'ok'}, 3);
  const stateDump = createStateDump();
  stateDump.register('admission', () => ({limitCount: 20}));
  stateDump.register('broken', () => {
    throw new Error('section fault');
  });
  const options: AdminServerOptions = {
    listen: {address: '127.0.0.1', port: 0},
    settings: parsed.settings,
    metrics,
    stateDump,
    policyStore: {inForce: () => situation.policy},
    readiness: new (class extends Readiness {
      override waitingFor = () => situation.waitingFor ?? [];
    })(),
    answerMillis: situation.answerMillis,
  };
  return {options, metrics, stateDump};
}

async function openAdmin(t: ExecutionContext, situation: Situation = {}) {
  const created = createOptions(situation);
  const server = createAdminServer(created.options);
  const port = await server.open();
  t.teardown(() => server.close());
  return {...created, port, server};
}

function request(path: string, method = 'GET', extra = ''): string {
  return `${method} ${path} HTTP/1.1\r\nhost: n\r\nconnection: close\r\n${extra}\r\n`;
}

function assertError(t: ExecutionContext, answer: RawAnswer, step: string) {
  t.true(answer.headers.includes('content-type: application/json'));
  const body = JSON.parse(answer.body) as Record<string, unknown>;
  t.like(body, {step, peer: HOST_NAME});
  t.is(typeof body['message'], 'string');
}

const READS: readonly {
  readonly path: string;
  readonly situation?: Situation;
  readonly statusCode: number;
  readonly content: Readonly<Record<string, unknown>>;
}[] = [
  {path: '/health', statusCode: 200, content: {status: 'running'}},
  {
    path: '/health',
    situation: {waitingFor: ['policy']},
    statusCode: 200,
    content: {status: 'running'},
  },
  {path: '/ready', statusCode: 200, content: {ready: true, reasons: []}},
  {
    path: '/ready',
    situation: {waitingFor: ['policy', 'host-list']},
    statusCode: 503,
    content: {ready: false, reasons: ['policy', 'host-list']},
  },
  {
    path: '/state?pretty',
    statusCode: 200,
    content: {admission: {limitCount: 20}, broken: {error: 'section fault'}},
  },
  {path: '/state/admission', statusCode: 200, content: {limitCount: 20}},
  {
    path: '/metrics',
    statusCode: 200,
    content: {totals: [{name: 'calls', tags: {result: 'ok'}, value: 3}]},
  },
];

for (const {path, situation, statusCode, content} of READS) {
  const title = `${path} with ${JSON.stringify(situation ?? {})}`;
  test(`GET ${title} answers ${statusCode}`, async t => {
    const {port} = await openAdmin(t, situation);
    const answer = await sendRaw(port, request(path));
    t.is(answer.statusCode, statusCode);
    t.deepEqual(JSON.parse(answer.body), content);
  });
}

test('GET /settings shows the settings in force with their defaults', async t => {
  const {port, options} = await openAdmin(t);
  const answer = await sendRaw(port, request('/settings'));
  t.deepEqual(JSON.parse(answer.body), options.settings);
});

test('GET /policy shows the document byte for byte', async t => {
  const policy = compileOrThrow(DOCUMENT);
  const {port} = await openAdmin(t, {policy});
  const answer = await sendRaw(port, request('/policy'));
  t.is(answer.statusCode, 200);
  t.is(answer.body, Buffer.from(DOCUMENT).toString('utf8'));
  t.true(answer.headers.includes(`etag: "${policy.digest}"`));
  t.true(
    answer.headers.includes(`fulmarhollow-policy-version: ${policy.version}`),
  );
});

// Symptom: an operator's tool hangs, or a node is changed or hurt through the
// listener. Sequence: something other than a plain read arrives. Cause: the
// listener is reachable by scanners, wrong clients and wrong scripts.
const FAULTS: readonly {
  readonly title: string;
  readonly bytes: string;
  readonly statusCode: number;
  readonly step: string;
}[] = [
  {
    title: 'unknown path',
    bytes: request('/'),
    statusCode: 404,
    step: 'route',
  },
  {
    title: 'unknown state section',
    bytes: request('/state/none'),
    statusCode: 404,
    step: 'route',
  },
  {
    title: 'section named like an inherited property',
    bytes: request('/state/constructor'),
    statusCode: 404,
    step: 'route',
  },
  {
    title: 'path that climbs',
    bytes: request('/state/../metrics'),
    statusCode: 404,
    step: 'route',
  },
  {
    title: 'no policy yet',
    bytes: request('/policy'),
    statusCode: 503,
    step: 'policy',
  },
  {
    title: 'method that writes',
    bytes: request('/state', 'DELETE'),
    statusCode: 405,
    step: 'route',
  },
  {
    title: 'request body',
    bytes: request('/state', 'GET', 'content-length: 5\r\n') + 'hello',
    statusCode: 400,
    step: 'parse-request',
  },
  {
    title: 'endless request body',
    bytes: request('/state', 'GET', 'transfer-encoding: chunked\r\n'),
    statusCode: 400,
    step: 'parse-request',
  },
  {
    title: 'oversized headers',
    bytes: request('/state', 'GET', `x: ${'a'.repeat(10_000)}\r\n`),
    statusCode: 431,
    step: 'parse-request',
  },
  {
    title: 'another protocol',
    bytes: 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
    statusCode: 400,
    step: 'parse-request',
  },
  {
    title: 'no protocol at all',
    bytes: '\u0016\u0003\u0001\r\n\r\n',
    statusCode: 400,
    step: 'parse-request',
  },
];

for (const {title, bytes, statusCode, step} of FAULTS) {
  test(`fault: ${title}: ${statusCode}, and the next read works`, async t => {
    const {port} = await openAdmin(t);
    const answer = await sendRaw(port, bytes);
    t.is(answer.statusCode, statusCode);
    assertError(t, answer, step);
    const next = await sendRaw(port, request('/health'));
    t.is(next.statusCode, 200);
  });
}

test('a refused method is told which one is allowed', async t => {
  const {port} = await openAdmin(t);
  const answer = await sendRaw(port, request('/state', 'POST'));
  t.true(answer.headers.includes('allow: GET'.toLowerCase()));
});

test('a source that fails is told as an error with its step', async t => {
  const {port, metrics} = await openAdmin(t);
  metrics.totals = () => {
    throw new Error('totals fault');
  };
  const answer = await sendRaw(port, request('/metrics'));
  t.is(answer.statusCode, 500);
  assertError(t, answer, 'collect');
});

// Symptom: no operator can read the node's state any more.
// Sequence: clients open connections and send nothing. Cause: no bound.
test('connections beyond the bound are closed and counted', async t => {
  const {port, metrics} = await openAdmin(t);
  const sockets = Array.from({length: 17}, () =>
    net.connect({host: '127.0.0.1', port}),
  );
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
  });
  await Promise.race(
    sockets.map(async socket => {
      socket.on('error', () => undefined);
      await once(socket, 'close');
    }),
  );
  t.is(metrics.countOf('connection.refused'), 1);
});

// Symptom: as above. Sequence: a client asks for a large dump and stops
// reading; the answer waits in the socket. Cause: no bound on the time.
test('a reader that stops is disconnected', async t => {
  const {port, stateDump, metrics} = await openAdmin(t, {answerMillis: 50});
  stateDump.register('large', () => 'x'.repeat(20_000_000));
  const socket = net.connect({host: '127.0.0.1', port});
  socket.pause();
  socket.write(request('/state/large'));
  t.teardown(() => socket.destroy());
  while (metrics.countOf('admin.answers_cut') === 0) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  t.is(metrics.countOf('admin.answers_cut'), 1);
});

test('closing ends idle connections and frees the port', async t => {
  const {port, server} = await openAdmin(t);
  const socket = net.connect({host: '127.0.0.1', port});
  await once(socket, 'connect');
  await Promise.all([once(socket, 'close'), server.close()]);
  await t.throwsAsync(sendRawOrThrow(port));
});

async function sendRawOrThrow(port: number): Promise<void> {
  const socket = net.connect({host: '127.0.0.1', port});
  await once(socket, 'connect');
  socket.destroy();
}
