import test from 'ava';
import type {ExecutionContext} from 'ava';
import type {EmulatedPlatform} from '../../../src/emulator/emulated_platform.js';
import {createEmulatedPlatform} from '../../../src/emulator/emulated_platform.js';
import type {HttpResponse} from '../../../src/emulator/http_support.js';
import {
  LOOPBACK_ADDRESS,
  sendControlRequest,
  sendHttpRequest,
} from '../../../src/emulator/http_support.js';

const POLICY = Buffer.from('{"version":3, "spaces":  "kept"}');
const NEWER_POLICY = Buffer.from('{"version":4}');

async function start(t: ExecutionContext): Promise<EmulatedPlatform> {
  const platform = await createEmulatedPlatform({
    port: 0,
    fronts: [{name: 'east', port: 0}],
  });
  t.teardown(platform.close);
  platform.publish('policy', POLICY);
  return platform;
}

function read(
  platform: EmulatedPlatform,
  query = '',
  front = 'main',
): Promise<HttpResponse> {
  return sendHttpRequest({
    address: LOOPBACK_ADDRESS,
    port: platform.frontPorts.get(front)!,
    path: `/v1/policy${query}`,
  });
}

test('a read returns the published bytes with their version', async t => {
  const platform = await start(t);
  const response = await read(platform);
  t.is(response.statusCode, 200);
  t.is(response.headers.etag, '"3"');
  t.deepEqual(response.body, POLICY);
});

test('a watch waits for a newer document and counts as one call', async t => {
  const platform = await start(t);
  const watch = read(platform, '?after=3&wait_ms=60000');
  await sendControlRequest(
    platform.controlPort,
    'PUT',
    '/policy',
    NEWER_POLICY,
  );
  t.deepEqual((await watch).body, NEWER_POLICY);
  t.is((await read(platform, '?after=4&wait_ms=1')).statusCode, 304);
  t.deepEqual(platform.counts(), {
    callsCount: 2,
    readsCount: 0,
    watchesCount: 2,
    failedCount: 0,
  });
});

test('a stale front serves old documents while another front is current', async t => {
  const platform = await start(t);
  platform.setFault('east', {isStale: true});
  platform.publish('policy', NEWER_POLICY);
  t.is((await read(platform, '', 'east')).headers.etag, '"3"');
  t.is((await read(platform)).headers.etag, '"4"');
  platform.setFault('east', {isStale: false});
  t.is((await read(platform, '', 'east')).headers.etag, '"4"');
});

test('a document that is not JSON is published under the next version', async t => {
  const platform = await start(t);
  platform.publish('policy', Buffer.from('{"version":'));
  t.is((await read(platform)).headers.etag, '"4"');
});

test('faults make reads fail', async t => {
  const platform = await start(t);
  platform.setFault('all', {mode: 'error'});
  t.is((await read(platform)).statusCode, 500);
  platform.setFault('all', {mode: 'truncate'});
  await t.throwsAsync(read(platform));
  platform.setFault('all', {mode: 'refuse'});
  await t.throwsAsync(read(platform));
  platform.setFault('all', {mode: 'up'});
  t.is((await read(platform)).statusCode, 200);
});
