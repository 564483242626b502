/**
 * Sends requests to an upstream whose bytes do not end until the connection closes.
 */
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';
import type {ExecutionContext} from 'ava';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import test from 'ava';
import {createCancelSource} from '../../../src/base/cancel_signal.js';
import type {UpstreamResult} from '../../../src/connection/upstream_result.js';
import {createUpstreamSender} from '../../../src/connection/upstream_sender.js';
import type {CancelCause} from '../../../src/protocol/cancel_cause.js';
import {FULMARHOLLOW_HEADERS} from '../../../src/protocol/fulmarhollow_headers.js';
import {waitUntil} from '../../fakes/wait_until.js';

/** Bytes that the upstream may hand over before its connection must be closed. */
const MAX_SENT_BYTES = 16_000_000;

const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const LONG = 'a'.repeat(65_536);

interface EndlessResponse {
  /** Bytes sent once. */
  readonly start: string;
  /** Bytes sent until the connection closes. */
  readonly repeated: string;
}

/** Responses that never reach their end. */
const ENDLESS: ReadonlyArray<readonly [string, EndlessResponse]> = [
  ['bytes that are no response', {start: '', repeated: LONG}],
  ['a status line', {start: 'HTTP/1.1 200 ', repeated: LONG}],
  ['a field', {start: 'HTTP/1.1 200 OK\r\nX-A: ', repeated: LONG}],
  [
    'fields',
    {start: 'HTTP/1.1 200 OK\r\n', repeated: 'X-A: b\r\n'.repeat(2000)},
  ],
  [
    'informational responses',
    {start: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500)},
  ],
  [
    'informational responses to continue',
    {start: '', repeated: 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(500)},
  ],
  ['a chunk size', {start: CHUNKED, repeated: '0'.repeat(65_536)}],
  ['a chunk extension', {start: `${CHUNKED}5;x=`, repeated: LONG}],
  ['a trailer', {start: `${CHUNKED}5\r\nhello\r\n0\r\nX-A: `, repeated: LONG}],
  [
    'trailers',
    {
      start: `${CHUNKED}5\r\nhello\r\n0\r\n`,
      repeated: 'X-A: b\r\n'.repeat(2000),
    },
  ],
];

/** Many chunks of one byte. */
const SMALL_CHUNKS = '1\r\na\r\n'.repeat(10_000);

/** Bodies that wait for their readers at the same time. */
const WAITING_COUNT = 20;

/** Heap that all of them may take, with the upstream in the same process. */
const MAX_WAITING_HEAP_BYTES = 16_000_000;

/** Complete responses, followed by bytes that belong to no request. */
const COMPLETE: ReadonlyArray<readonly [string, string, string]> = [
  [
    'with a length',
    'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello',
    'hello',
  ],
  ['in chunks', `${CHUNKED}5\r\nhello\r\n0\r\n\r\n`, 'hello'],
  ['with length 0', 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n', ''],
  ['without a body', 'HTTP/1.1 204 No Content\r\n\r\n', ''],
];

interface EndlessUpstream {
  readonly port: number;
  readonly sentBytes: number;
  readonly isClosed: boolean;
}

async function startUpstream(
  t: ExecutionContext,
  {start, repeated}: EndlessResponse,
): Promise<EndlessUpstream> {
  const state = {port: 0, sentBytes: 0, isClosed: false};
  const server = createServer(socket => {
    t.teardown(() => socket.destroy());
    const send = (): void => {
      if (socket.destroyed || state.sentBytes > MAX_SENT_BYTES) return;
      if (repeated === '') return;
      state.sentBytes += repeated.length;
      if (socket.write(repeated)) setImmediate(send);
      else socket.once('drain', send);
    };
    socket.on('error', () => undefined);
    socket.on('close', () => (state.isClosed = true));
    socket.once('data', () => {
      socket.write(start);
      send();
    });
  });
  t.teardown(() => server.close());
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  state.port = (server.address() as AddressInfo).port;
  return state;
}

/** Sends one request; it is cancelled once the upstream has sent too much. */
async function request(
  t: ExecutionContext,
  upstream: EndlessUpstream,
): Promise<UpstreamResult> {
  const sender = createUpstreamSender({
    upstream: {address: '127.0.0.1', port: upstream.port},
    wireHeaders: FULMARHOLLOW_HEADERS,
    nowMillis: () => performance.now(),
  });
  t.teardown(sender.dispose);
  const cancel = createCancelSource<CancelCause>();
  let result: UpstreamResult | undefined;
  sender.send(
    {
      attemptId: 'a-1',
      upstreamId: 'u-1',
      callerService: 'orders',
      method: 'GET',
      target: '/x',
      headers: ['host', 'orders'],
      body: Buffer.alloc(0),
      isRepeatable: true,
      timeoutMillis: 5000,
      cancel: cancel.signal,
    },
    ended => {
      result = ended;
    },
  );
  await waitUntil(
    'a result',
    () => result !== undefined || upstream.sentBytes > MAX_SENT_BYTES,
  );
  cancel.cancel('client-left');
  await waitUntil('a result', () => result !== undefined);
  return result as unknown as UpstreamResult;
}

for (const [name, response] of ENDLESS) {
  test(`a response ends although the upstream sends endless bytes: ${name}`, async t => {
    // Guards against a slot, a connection and CPU time that are held until the deadline.
    const upstream = await startUpstream(t, response);
    const result = await request(t, upstream);
    t.like(result, {kind: 'unknown', reason: 'connection-lost'});
    await waitUntil('closed', () => upstream.isClosed);
    t.true(upstream.sentBytes <= MAX_SENT_BYTES, String(upstream.sentBytes));
  });
}

test('the rest of a long body breaks off at a chunk size without end', async t => {
  // Guards against a download that looks alive while only digits arrive.
  const chunk = `${LONG.length.toString(16)}\r\n${LONG}\r\n`;
  const upstream = await startUpstream(t, {
    start: `${CHUNKED}${chunk}${chunk}`,
    repeated: '0'.repeat(65_536),
  });
  const result = await request(t, upstream);
  const bodyRest =
    result.kind === 'answered' ? result.answer.bodyRest : undefined;
  let hasFailed = false;
  bodyRest?.on('error', () => (hasFailed = true));
  bodyRest?.resume();
  await waitUntil('closed', () => upstream.isClosed);
  await waitUntil('failed', () => hasFailed);
  t.true(upstream.sentBytes <= MAX_SENT_BYTES, String(upstream.sentBytes));
});

test('a body in chunks of one byte is received completely', async t => {
  // Guards against a limit on bytes between chunks that cuts proper responses.
  const body = '1\r\na\r\n'.repeat(60_000);
  const upstream = await startUpstream(t, {
    start: `${CHUNKED}${body}0\r\n\r\n`,
    repeated: '',
  });
  const result = await request(t, upstream);
  t.is(result.kind, 'answered');
  if (result.kind !== 'answered') return;
  t.is(result.answer.bodyStart.length, 60_000);
});

for (const [name, start, body] of COMPLETE) {
  test(`a complete response is returned although endless bytes follow: ${name}`, async t => {
    // Guards against a response that ran and is reported as lost.
    const upstream = await startUpstream(t, {start, repeated: LONG});
    const result = await request(t, upstream);
    t.is(result.kind, 'answered');
    if (result.kind !== 'answered') return;
    t.is(result.answer.bodyStart.toString(), body);
    t.is(result.answer.bodyRest, undefined);
    await waitUntil('closed', () => upstream.isClosed);
  });
}

test('endless bodies in chunks of one byte take little memory while they wait', async t => {
  // Guards against nodes that exceed their heap: each chunk was an object of its own.
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  collectGarbage();
  const heapBytes = process.memoryUsage().heapUsed;
  const results: UpstreamResult[] = [];
  for (let index = 0; index < WAITING_COUNT; index += 1) {
    const upstream = await startUpstream(t, {
      start: CHUNKED,
      repeated: SMALL_CHUNKS,
    });
    results.push(await request(t, upstream));
  }
  await nextTurn();
  collectGarbage();
  const heldBytes = process.memoryUsage().heapUsed - heapBytes;
  t.log(heldBytes);
  for (const result of results) {
    t.is(result.kind, 'answered');
    if (result.kind === 'answered') result.answer.bodyRest?.destroy();
  }
  t.true(heldBytes <= MAX_WAITING_HEAP_BYTES, String(heldBytes));
});

for (const [status, field] of [
  ['503 Service Unavailable', `${FULMARHOLLOW_HEADERS.notExecuted}: 1`],
  ['421 Misdirected Request', 'x-a: b'],
]) {
  test(`a rejection whose body does not end closes its connection: ${status}`, async t => {
    // Guards against connections that stay open and unread after their request has ended.
    const upstream = await startUpstream(t, {
      start: `HTTP/1.1 ${status}\r\n${field}\r\n\r\n`,
      repeated: LONG,
    });
    const result = await request(t, upstream);
    t.is(result.kind, 'not-run');
    await waitUntil('closed', () => upstream.isClosed);
    t.true(upstream.sentBytes <= MAX_SENT_BYTES, String(upstream.sentBytes));
  });
}
