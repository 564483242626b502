/**
 * Contract of the administration listener: it is read-only.
 */
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {OperatorView} from '../../src/connection/operator_listener.js';
import {openOperatorListener} from '../../src/connection/operator_listener.js';

interface OperatorResponse {
  readonly statusCode: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
}

async function open(t: ExecutionContext, changed: Partial<OperatorView> = {}) {
  const server = await openOperatorListener(
    {address: '127.0.0.1', port: 0},
    {
      nodeName: 'node-1',
      waitingFor: () => [],
      metricsText: () => Promise.resolve('calls_total 3\n'),
      state: () => ({admission: {limitCount: 20}, fleet: {upstreamsCount: 1}}),
      configuration: () => ({version: 7, document: '{"version":7}'}),
      ...changed,
    },
  );
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const {port} = server.address() as AddressInfo;
  return (path: string, method = 'GET'): Promise<OperatorResponse> =>
    new Promise((resolve, reject) => {
      const request = http.request({
        port,
        host: '127.0.0.1',
        path,
        method,
        agent: false,
      });
      request.on('error', reject);
      request.on('response', response => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', () => {
          resolve({
            statusCode: response.statusCode ?? 0,
            headers: response.headers,
            text: Buffer.concat(chunks).toString(),
          });
        });
      });
      request.end();
    });
}

test('readiness lists what is missing', async t => {
  const ready = await open(t);
  t.is((await ready('/ready')).statusCode, 200);
  const waiting = await open(t, {waitingFor: () => ['configuration']});
  const read = await waiting('/ready');
  t.is(read.statusCode, 503);
  t.deepEqual(JSON.parse(read.text), {
    ready: false,
    reasons: ['configuration'],
  });
  t.is((await waiting('/health')).statusCode, 200);
});

test('state is returned completely or by section', async t => {
  const read = await open(t);
  const whole = JSON.parse((await read('/state?pretty')).text) as object;
  t.deepEqual(Object.keys(whole), ['admission', 'fleet']);
  const section = await read('/state/admission');
  t.deepEqual(JSON.parse(section.text), {limitCount: 20});
  const unknown = await read('/state/nothing');
  t.is(unknown.statusCode, 404);
  t.regex(unknown.text, /there are admission, fleet/);
});

test('metrics are text, and the configuration is returned as published', async t => {
  const read = await open(t);
  t.is((await read('/metrics')).text, 'calls_total 3\n');
  const shown = await read('/configuration');
  t.is(shown.text, '{"version":7}');
  t.is(shown.headers['fulmarhollow-configuration-version'], '7');
  t.regex(String(shown.headers.etag), /^"[0-9a-f]{64}"$/);
  const none = await open(t, {configuration: () => undefined});
  t.is((await none('/configuration')).statusCode, 503);
});

test('writes are rejected, and failures are reported', async t => {
  const read = await open(t, {
    state: () => {
      throw new Error('section fault');
    },
  });
  const refused = await read('/state', 'POST');
  t.is(refused.statusCode, 405);
  t.is(refused.headers.allow, 'GET');
  const broken = await read('/state');
  t.is(broken.statusCode, 500);
  t.like(JSON.parse(broken.text), {peer: 'node-1', message: 'section fault'});
  t.is((await read('/nowhere')).statusCode, 404);
});
