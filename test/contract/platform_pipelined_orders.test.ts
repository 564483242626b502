/**
 * Orders that clients send behind other requests on the same connection.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {ReceivedRequest, UpstreamHandler} from '../fakes/fake_upstream.js';
import {signatureOf} from '../fakes/fake_upstream.js';
import type {
  PipelinedOutcome,
  PipelinedRequest,
  PipeliningClient,
} from '../fakes/pipelining_client.js';
import {
  connectPipeliningClient,
  formatRequest,
} from '../fakes/pipelining_client.js';
import type {PlatformFleet} from '../fakes/platform_fleet.js';
import {createPath, ORDER_PATH, SAFE_PATH} from '../fakes/platform_fleet.js';
import {connectRawClient} from '../fakes/raw_client.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

const READ: PipelinedRequest = {attemptId: 'read', method: 'GET', path: '/a/1'};

/** A route whose requests time out early. */
const IMPATIENT_PATH = createPath({
  name: 'r-3',
  prefix: '/impatient/',
  timeoutS: 0.4,
});

const IMPATIENT_READ: PipelinedRequest = {
  attemptId: 'impatient',
  method: 'GET',
  path: '/impatient/1',
};

/** Longer than a response that a node buffers completely. */
const LONG_BODY = 'x'.repeat(140_000);

/** Longer than a response without a length that a node receives before it sends it. */
const UNDER_WAY_BODY = 'x'.repeat(3_000_000);

/** Time from a request to its response; enough for the order behind it to arrive. */
const WORK_MILLIS = 150;

function order(attemptId: string): PipelinedRequest {
  return {attemptId, method: 'POST', path: '/order/1', body: 'x'};
}

function headOf({attemptId}: ReceivedRequest): string {
  return (
    `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\n` +
    `response-signature: ${signatureOf('i-2', attemptId)}\r\n`
  );
}

function respondWithoutLength(request: ReceivedRequest): void {
  request.socket.end(`${headOf(request)}\r\nserved`);
}

function breakOffLongBody(request: ReceivedRequest): void {
  const bytes = String(2 * LONG_BODY.length);
  request.socket.end(
    `${headOf(request)}content-length: ${bytes}\r\n\r\n${LONG_BODY}`,
  );
}

/** Resets the connection once the client has part of the response. */
function resetUnderWay(
  request: ReceivedRequest,
  hasReceived: () => boolean,
): void {
  void resetWithin(request, UNDER_WAY_BODY, hasReceived);
}

/** Resets the connection when the condition is true. */
async function resetWithin(
  request: ReceivedRequest,
  body: string,
  isTime: () => boolean,
): Promise<void> {
  const {socket} = request;
  socket.write(`${headOf(request)}\r\n${body}`);
  await waitUntil('reset', isTime);
  socket.resetAndDestroy();
}

/** A fleet whose upstream responds to reads late, with this handler. */
async function startReadingFleet(
  t: ExecutionContext,
  respondToRead: UpstreamHandler,
): Promise<PlatformFleet> {
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [SAFE_PATH, ORDER_PATH, IMPATIENT_PATH],
  });
  fleet.hosts[1]!.upstream.setHandler(request => {
    if (request.method === 'POST') request.respond(200, 'ordered');
    else setTimeout(respondToRead, WORK_MILLIS, request);
  });
  return fleet;
}

/** Number of runs of each order. */
function runCounts(fleet: PlatformFleet): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const {upstream} of fleet.hosts) {
    for (const id of upstream.runIds) {
      if (id.startsWith('order')) counts[id] = (counts[id] ?? 0) + 1;
    }
  }
  return counts;
}

/** Orders that the first node logged as unread, in order. */
function unreadIds({hosts}: PlatformFleet): readonly unknown[] {
  return hosts[0]!.events
    .filter(({event}) => event === 'order-unread')
    .map(({fields}) => fields['requestId'])
    .sort();
}

function describe(outcome: PipelinedOutcome): string {
  return outcome.kind === 'answered'
    ? String(outcome.head.statusCode)
    : outcome.kind;
}

/** Sends all requests at once; returns the outcome of each. */
async function sendAtOnce(
  fleet: PlatformFleet,
  requests: readonly PipelinedRequest[],
  onConnected: (client: PipeliningClient) => void = () => undefined,
): Promise<readonly string[]> {
  const {address} = fleet.hosts[0]!;
  const client = await connectPipeliningClient(address, fleet.outboundPort);
  onConnected(client);
  const outcomes = await client.send(requests);
  client.close();
  return outcomes.map(describe);
}

for (const [title, respondToRead, readOutcome] of [
  ['has no length', respondWithoutLength, '200'],
  ['breaks off', breakOffLongBody, 'lost'],
  ['is reset', resetUnderWay, 'lost'],
] as const) {
  test(`an order behind a response that ${title} runs once when sent again`, async t => {
    // Guards against an order that runs although its client must take it for unread: the
    // response before it closed the connection.
    let client: PipeliningClient | undefined;
    const hasReceived = (): boolean => (client?.receivedBytes ?? 0) > 0;
    const fleet = await startReadingFleet(t, request => {
      respondToRead(request, hasReceived);
    });
    const requests = [READ, order('order-1'), order('order-2')];
    const outcomes = await sendAtOnce(fleet, requests, connected => {
      client = connected;
    });
    t.deepEqual(outcomes, [readOutcome, 'unread', 'unread']);
    t.deepEqual(runCounts(fleet), {});
    t.deepEqual(unreadIds(fleet), ['order-1', 'order-2']);
    t.deepEqual(await sendAtOnce(fleet, requests.slice(1)), ['200', '200']);
    t.deepEqual(runCounts(fleet), {'order-1': 1, 'order-2': 1});
  });
}

test('an order behind a response that is reset before it is sent is served', async t => {
  // Guards against a connection that closes for a response of which nothing has been sent.
  const fleet = await startReadingFleet(t, request => {
    void resetWithin(request, LONG_BODY, () => true);
  });
  const outcomes = await sendAtOnce(fleet, [READ, order('order-1')]);
  t.deepEqual(outcomes, ['502', '200']);
  t.deepEqual(runCounts(fleet), {'order-1': 1});
});

test('an order behind a response that leaves the connection open is served', async t => {
  const fleet = await startReadingFleet(t, request => {
    request.respond(200, 'served');
  });
  const outcomes = await sendAtOnce(fleet, [
    READ,
    order('order-1'),
    {...READ, attemptId: 'read-2'},
    order('order-2'),
    {...IMPATIENT_READ, path: '/nowhere/'},
    order('order-3'),
  ]);
  t.deepEqual(outcomes, ['200', '200', '200', '200', '404', '200']);
  t.deepEqual(runCounts(fleet), {'order-1': 1, 'order-2': 1, 'order-3': 1});
});

test('an order behind a request that times out is served', async t => {
  const fleet = await startReadingFleet(t, () => undefined);
  const outcomes = await sendAtOnce(fleet, [IMPATIENT_READ, order('order-1')]);
  t.deepEqual(outcomes, ['504', '200']);
  t.deepEqual(runCounts(fleet), {'order-1': 1});
});

test('an order that waits behind a request keeps its deadline', async t => {
  const fleet = await startReadingFleet(t, () => undefined);
  const outcomes = await sendAtOnce(fleet, [
    IMPATIENT_READ,
    {...order('order-1'), timeoutMillis: 200},
  ]);
  t.deepEqual(outcomes, ['504', '503']);
  t.deepEqual(runCounts(fleet), {});
});

test('reads behind a request run at the same time', async t => {
  const running: ReceivedRequest[] = [];
  const fleet = await startReadingFleet(t, request => {
    running.push(request);
    if (running.length < 3) return;
    for (const {respond} of running) respond(200, 'served');
  });
  const reads = ['a', 'b', 'c'].map(attemptId => ({...READ, attemptId}));
  t.deepEqual(await sendAtOnce(fleet, reads), ['200', '200', '200']);
  t.is(fleet.hosts[1]!.upstream.maxConcurrentCount, 3);
});

for (const [title, delayMillis] of [
  ['at once', 0],
  ['while it runs', WORK_MILLIS / 3],
] as const) {
  test(`an order is answered although invalid bytes follow it ${title}`, async t => {
    // Guards against an order that is cancelled while it runs, and against a response to
    // other bytes that its client takes for the one to its order.
    const fleet = await startReadingFleet(t, () => undefined);
    const [shop, orders] = fleet.hosts;
    orders!.upstream.setHandler(request => {
      setTimeout(() => {
        request.respond(200, 'ordered');
      }, WORK_MILLIS);
    });
    const client = await connectRawClient(t, shop!.address, fleet.outboundPort);
    client.write(formatRequest(order('order-1')));
    await sleep(delayMillis);
    client.write('no request\r\n\r\n');
    await waitUntil('closed', () => client.isClosed);
    t.deepEqual(client.statusCodes, [200, 400]);
    t.deepEqual(runCounts(fleet), {'order-1': 1});
    t.is(orders!.upstream.abortedCount, 0);
  });
}

test('an order whose client leaves while it waits does not run', async t => {
  const fleet = await startReadingFleet(t, request => {
    request.respond(200, 'served');
  });
  const [shop, orders] = fleet.hosts;
  const client = await connectPipeliningClient(
    shop!.address,
    fleet.outboundPort,
  );
  const outcomes = client.send([READ, order('order-1')]);
  await waitUntil('running', () => orders!.upstream.runIds.includes('read'));
  await sleep(WORK_MILLIS / 3);
  client.close();
  await outcomes;
  await waitUntil('ended', () => nodeBusyCount(fleet) === 0);
  t.deepEqual(runCounts(fleet), {});
});

function nodeBusyCount(fleet: PlatformFleet): number {
  const {node} = fleet.hosts[0]!.node.state() as {
    readonly node: {readonly busyCount: number};
  };
  return node.busyCount;
}
