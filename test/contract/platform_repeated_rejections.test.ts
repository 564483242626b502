/**
 * Upstreams that send a rejection of an order a second time, late, where the response to the
 * next request on the connection is due.
 */
import type {Socket} from 'node:net';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {FakeUpstream, ReceivedRequest} from '../fakes/fake_upstream.js';
import {ORDER_PATH, orderRequest, SAFE_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';

/** Time for which an upstream works on an order, and on one that outlasts all retries. */
const WORK_MILLIS = 120;
const LONG_WORK_MILLIS = 1500;

/** Time from an arrival to the copy that is taken for the response to it. */
const COPY_MILLIS = 20;

const PATHS = [SAFE_PATH, ORDER_PATH];

const REJECTION_TEXT =
  'HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\n' +
  'attempt-id: o1\r\ncontent-length: 0\r\n\r\n';

const MISDIRECTED_TEXT =
  'HTTP/1.1 421 Misdirected Request\r\ninstance-id: i-9\r\n' +
  'attempt-id: o1\r\ncontent-length: 0\r\n\r\n';

function execute(request: ReceivedRequest, workMillis: number): void {
  setTimeout(() => {
    request.respond(200, 'served');
  }, workMillis);
}

/**
 * Rejects an order when it first arrives and then executes it; each later arrival triggers a
 * copy of the rejection. Returns the number of executions.
 */
function repeatRejection(
  upstream: FakeUpstream,
  workMillis: number,
): () => number {
  let runsCount = 0;
  let rejectedOn: Socket | undefined;
  upstream.setHandler(request => {
    if (rejectedOn === undefined) {
      rejectedOn = request.socket;
      request.reject();
      return;
    }
    const earlier = rejectedOn;
    setTimeout(() => {
      if (earlier.writable) earlier.write(REJECTION_TEXT);
    }, COPY_MILLIS);
    runsCount += 1;
    execute(request, workMillis);
  });
  return () => runsCount;
}

interface OrderOutcome {
  readonly statusCode: number;
  readonly runsCount: number;
}

async function sendOrder(
  t: ExecutionContext,
  upstreamsCount: number,
  workMillis: number,
): Promise<OrderOutcome> {
  const ordersServices = Array<string>(upstreamsCount).fill('orders');
  const fleet = await startFleet(t, {
    services: ['shop', ...ordersServices],
    paths: PATHS,
  });
  const [shop, ...orders] = fleet.hosts;
  const counters = orders.map(({upstream}) =>
    repeatRejection(upstream, workMillis),
  );
  const {statusCode} = await fleet.send(shop!, orderRequest('o1'));
  const runsCount = counters.reduce((sum, count) => sum + count(), 0);
  return {statusCode, runsCount};
}

for (const upstreamsCount of [1, 2]) {
  test(`an order runs once if a copy of its rejection follows its next dispatch: ${String(upstreamsCount)} upstreams`, async t => {
    // Guards against an order that runs twice: a rejection that its upstream had sent
    // before was taken for the response to its second dispatch.
    const outcome = await sendOrder(t, upstreamsCount, WORK_MILLIS);
    t.deepEqual(outcome, {statusCode: 200, runsCount: 1});
  });
}

test('an order that ran is not reported as not run after a copy of its earlier rejection', async t => {
  // Guards against a promise that an order has not run, made on a copied rejection.
  const outcome = await sendOrder(t, 1, LONG_WORK_MILLIS);
  t.deepEqual(outcome, {statusCode: 200, runsCount: 1});
});

test('an order runs once if a copy of a misdirection follows its second dispatch', async t => {
  // Guards against an order that runs twice after its upstream restarted under another id:
  // the first 421 was taken for the response to the dispatch under the new id as well.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders', 'orders'],
    paths: PATHS,
  });
  const [shop, ...orders] = fleet.hosts;
  let runsCount = 0;
  for (const {upstream} of orders) {
    await upstream.restart('i-9');
    upstream.setHandler(request => {
      runsCount += 1;
      const hasResponded = request.socket.bytesWritten > 0;
      setTimeout(() => {
        if (hasResponded) request.socket.write(MISDIRECTED_TEXT);
      }, COPY_MILLIS);
      execute(request, WORK_MILLIS);
    });
  }
  const {statusCode} = await fleet.send(shop!, orderRequest('o1'));
  t.deepEqual({statusCode, runsCount}, {statusCode: 200, runsCount: 1});
});
