import * as http from 'node:http';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {findResponseProblem} from '../../../src/emulator/response_body.js';
import type {HttpResponse} from '../../../src/emulator/http_support.js';
import {
  LOOPBACK_ADDRESS,
  sendHttpRequest,
} from '../../../src/emulator/http_support.js';
import type {EmulatedUpstream} from '../../../src/emulator/emulated_upstream.js';
import {createEmulatedUpstream} from '../../../src/emulator/emulated_upstream.js';
import type {
  UpstreamFault,
  UpstreamRoute,
} from '../../../src/emulator/upstream_config.js';

const LEAF_ROUTE: UpstreamRoute = {
  method: 'GET',
  path: '/tiles/:id',
  serviceMillis: 0,
  answerBytes: 1000,
  hasDigest: true,
};

async function start(
  t: ExecutionContext,
  routes: readonly UpstreamRoute[] = [LEAF_ROUTE],
  localPort = 0,
): Promise<EmulatedUpstream> {
  const upstream = await createEmulatedUpstream({
    hostName: 'h1',
    service: 'atlas',
    port: 0,
    localPort,
    slotsCount: 2,
    queueCount: 0,
    routes,
  });
  t.teardown(upstream.close);
  return upstream;
}

function get(
  upstream: EmulatedUpstream,
  request: string,
  headers: http.OutgoingHttpHeaders = {},
): Promise<HttpResponse> {
  return sendHttpRequest({
    address: LOOPBACK_ADDRESS,
    port: upstream.port,
    path: `/tiles/7?request=${request}`,
    headers,
  });
}

test('a response is complete, names its request and is recorded', async t => {
  const upstream = await start(t);
  const response = await get(upstream, 'r1');
  const expected = {request: 'r1', path: '/tiles/7', requestDigest: ''};
  t.is(findResponseProblem(response.body, expected), undefined);
  t.truthy(response.headers['content-digest']);
  const other = {...expected, request: 'r2'};
  t.truthy(findResponseProblem(response.body, other));
  t.truthy(findResponseProblem(response.body.subarray(0, -1), expected));
  const [execution] = upstream.record.find({request: 'r1'});
  t.like(execution, {request: 'r1', isComplete: true, path: '/tiles/7'});
});

const FAULTS: readonly {
  readonly fault: Partial<UpstreamFault>;
  readonly statusCode: number | 'broken';
  readonly executionsCount: number;
}[] = [
  {
    fault: {mode: 'cut', cutAt: 'headers'},
    statusCode: 'broken',
    executionsCount: 1,
  },
  {
    fault: {mode: 'cut', cutAt: 'middle'},
    statusCode: 'broken',
    executionsCount: 1,
  },
  {
    fault: {mode: 'cut', cutAt: 'last-byte'},
    statusCode: 'broken',
    executionsCount: 1,
  },
  {fault: {mode: 'reset'}, statusCode: 'broken', executionsCount: 1},
  {fault: {mode: 'reset-unrun'}, statusCode: 'broken', executionsCount: 0},
  {fault: {mode: 'error'}, statusCode: 500, executionsCount: 1},
  {fault: {mode: 'unavailable'}, statusCode: 503, executionsCount: 1},
  {fault: {mode: 'refuse'}, statusCode: 503, executionsCount: 0},
];

for (const {fault, statusCode, executionsCount} of FAULTS) {
  test(`fault ${JSON.stringify(fault)} affects one request`, async t => {
    const upstream = await start(t);
    upstream.setFault({...fault, remainingCount: 1});
    if (statusCode === 'broken') await t.throwsAsync(get(upstream, 'r1'));
    else t.is((await get(upstream, 'r1')).statusCode, statusCode);
    t.is(upstream.record.find({}).length, executionsCount);
    t.is((await get(upstream, 'r2')).statusCode, 200);
  });
}

test('a full upstream rejects requests without executing them', async t => {
  const upstream = await start(t);
  upstream.setFault({mode: 'hold'});
  const pending = [get(upstream, 'r1'), get(upstream, 'r2')];
  while (upstream.counts().completedCount < 2) {
    await new Promise(resolve => setImmediate(resolve));
  }
  const refused = await get(upstream, 'r3');
  t.is(refused.headers['fulmarhollow-not-run'], '1');
  upstream.releaseHeldResponses();
  t.deepEqual(
    (await Promise.all(pending)).map(a => a.statusCode),
    [200, 200],
  );
  t.is(upstream.record.find({}).length, 2);
});

test('a silent upstream cancels the execution when its client disconnects', async t => {
  const upstream = await start(t);
  upstream.setFault({mode: 'silent'});
  const controller = new AbortController();
  const pending = sendHttpRequest({
    address: LOOPBACK_ADDRESS,
    port: upstream.port,
    path: '/tiles/7',
    signal: controller.signal,
  });
  while (upstream.counts().startedCount < 1) {
    await new Promise(resolve => setImmediate(resolve));
  }
  controller.abort();
  await t.throwsAsync(pending);
  while (upstream.counts().cancelledCount < 1) {
    await new Promise(resolve => setImmediate(resolve));
  }
  t.like(upstream.record.find({})[0], {isComplete: false, isCancelled: true});
});

test('calls go through the local node with ids derived from their request', async t => {
  const leaf = await start(t);
  const receivedIds: unknown[] = [];
  const node = http.createServer((request, response) => {
    const id = request.headers['fulmarhollow-request-id'];
    receivedIds.push([request.headers.host, id]);
    void get(leaf, 'r1').then(leafResponse => response.end(leafResponse.body));
  });
  await new Promise<void>(resolve => node.listen(0, LOOPBACK_ADDRESS, resolve));
  t.teardown(() => node.close());
  const {port} = node.address() as {port: number};
  const call = {service: 'deep', method: 'GET', path: '/tiles/7'};
  const route = {...LEAF_ROUTE, callStages: [[call, call], [call]]};
  const upstream = await start(t, [route], port);
  const headers = {'fulmarhollow-request-id': 'own'};
  t.is((await get(upstream, 'r1', headers)).statusCode, 200);
  t.deepEqual(receivedIds, [
    ['deep', 'own.1'],
    ['deep', 'own.2'],
    ['deep', 'own.3'],
  ]);
  t.is(upstream.counts().wrongAnswersCount, 0);
  upstream.setFault({contextMode: 'drop'});
  t.is((await get(upstream, 'other', headers)).statusCode, 502);
  t.is(upstream.counts().wrongAnswersCount, 2);
  t.deepEqual(receivedIds.at(-1), ['deep', undefined]);
});
