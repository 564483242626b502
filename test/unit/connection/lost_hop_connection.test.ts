import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import {openFrameConnection} from '../../../src/connection/frame_connection.js';
import type {IncomingHop} from '../../../src/connection/incoming_hop.js';
import {createOutgoingHop} from '../../../src/connection/outgoing_hop.js';
import type {LinkMode} from '../../../src/emulator/faulty_link.js';
import {REFUSED_WINDOW_MILLIS} from '../../../src/process/membership/reconnect_times.js';
import type {Frame} from '../../../src/protocol/hop_frames.js';
import {FRAME_KIND} from '../../../src/protocol/hop_frames.js';
import {
  createHopFixture,
  createHopRequest,
  describeResult,
  respondWith,
} from '../../fakes/hop_fixture.js';
import {waitUntil} from '../../fakes/wait_until.js';

/** An upstream that works on each request until it is released or cancelled. */
interface HeldUpstream {
  readonly handle: (hop: IncomingHop) => Promise<void>;
  runsCount(): number;
  cancelledCount(): number;
  release(): void;
}

function createHeldUpstream(): HeldUpstream {
  let runsCount = 0;
  let cancelledCount = 0;
  let release: () => void = () => undefined;
  const released = new Promise<void>(resolve => {
    release = resolve;
  });
  return {
    handle: async hop => {
      await hop.fetchBody();
      runsCount += 1;
      const cancelled = new Promise<void>(resolve => {
        hop.cancel.onCancel(() => {
          resolve();
        });
      });
      await Promise.race([released, cancelled]);
      if (hop.cancel.isCancelled) cancelledCount += 1;
      if (hop.cancel.isCancelled) respondUnknown(hop);
      else respondWith(hop, 'done');
    },
    runsCount: () => runsCount,
    cancelledCount: () => cancelledCount,
    release: () => {
      release();
    },
  };
}

/** Responds that the run was cut. */
function respondUnknown(hop: IncomingHop): void {
  hop.answer({
    answer: {
      outcome: 'unknown',
      reason: 'cancelled',
      hasFailedCall: false,
      unspentCount: 0,
      calls: new Map(),
      loads: [],
    },
    received: undefined,
  });
}

/** Longer than any wait of a test: only a cancellation ends a run. */
const LEFT_MILLIS = 120_000;

/** Refusals of a listener that is restarted. */
const REFUSED_MILLIS = 500;

/** Link-local without a scope: a connect to it fails at this host, and sends nothing. */
const UNROUTABLE_ADDRESS = 'fe80::1';

interface Outage {
  readonly isRepeatable: boolean;
  /** How the link treats attempts to reconnect. */
  readonly mode: LinkMode;
  readonly millis: number;
}

/** Loses the connection of a request at work, and ends the run after it is resumed. */
async function loseConnection(t: ExecutionContext, outage: Outage) {
  const upstream = createHeldUpstream();
  // A monitor fails reads, which may be sent to other nodes.
  const isMonitored = !outage.isRepeatable;
  const {send, link, replacedCount} = await createHopFixture(
    t,
    upstream.handle,
    {isMonitored},
  );
  const {ended} = send(outage.isRepeatable);
  let isEnded = false;
  void ended.then(() => (isEnded = true));
  await waitUntil('running', () => upstream.runsCount() === 1);
  link.setDefaultMode('reset');
  link.setDefaultMode(outage.mode);
  await sleep(outage.millis);
  link.setDefaultMode('open');
  await waitUntil(
    'resumed or ended',
    () => isEnded || replacedCount() > 0 || upstream.cancelledCount() > 0,
  );
  upstream.release();
  t.is(upstream.cancelledCount(), 0);
  t.is(describeResult(await ended), 'done');
  t.is(upstream.runsCount(), 1);
}

for (const isRepeatable of [true, false]) {
  for (const mode of ['reset', 'silent'] as const) {
    for (const millis of [500, 1200]) {
      const kind = isRepeatable ? 'a read' : 'an order';
      test(`${kind} at work is resumed after ${String(millis)} ms of reconnects that are ${mode}`, async t => {
        // Guards against runs that are cut because a connection between nodes is gone.
        await loseConnection(t, {isRepeatable, mode, millis});
      });
    }
  }
}

for (const isRepeatable of [true, false]) {
  const kind = isRepeatable ? 'a read' : 'an order';
  test(`${kind} at work is resumed after its node has refused connections for a while`, async t => {
    // Guards against requests that fail since a listener is restarted beside their work.
    const upstream = createHeldUpstream();
    const {send, link, replacedCount} = await createHopFixture(
      t,
      upstream.handle,
    );
    const {ended} = send(isRepeatable);
    let isEnded = false;
    void ended.then(() => (isEnded = true));
    await waitUntil('running', () => upstream.runsCount() === 1);
    await link.setAccepting(false);
    link.setDefaultMode('reset');
    await sleep(REFUSED_MILLIS);
    link.setDefaultMode('open');
    await link.setAccepting(true);
    await waitUntil('resumed or ended', () => isEnded || replacedCount() > 0);
    upstream.release();
    t.is(describeResult(await ended), 'done');
    t.is(upstream.runsCount(), 1);
    t.is(upstream.cancelledCount(), 0);
  });
}

test('an order at work is resumed after its sender could not connect for long', async t => {
  // Guards against a fault of the sender's own host that counts as the end of a node.
  const upstream = createHeldUpstream();
  const {send, link, setAddress, replacedCount} = await createHopFixture(
    t,
    upstream.handle,
    {leftMillis: LEFT_MILLIS},
  );
  const {ended} = send(false);
  let isEnded = false;
  void ended.then(() => (isEnded = true));
  await waitUntil('running', () => upstream.runsCount() === 1);
  setAddress(UNROUTABLE_ADDRESS);
  link.setDefaultMode('reset');
  await sleep(REFUSED_WINDOW_MILLIS + 500);
  link.setDefaultMode('open');
  setAddress('127.0.0.1');
  await waitUntil('resumed or ended', () => isEnded || replacedCount() > 0);
  upstream.release();
  t.is(describeResult(await ended), 'done');
  t.is(upstream.runsCount(), 1);
});

test('a request to a node that refuses connections for long fails', async t => {
  // Guards against clients that wait for a process that has ended.
  const upstream = createHeldUpstream();
  const {send, link} = await createHopFixture(t, upstream.handle, {
    leftMillis: LEFT_MILLIS,
  });
  const {ended, suspicions} = send(false);
  await waitUntil('running', () => upstream.runsCount() === 1);
  await link.setAccepting(false);
  link.setDefaultMode('reset');
  t.is(describeResult(await ended), 'lost connection-lost');
  t.true(suspicions.includes('upstream-lost'));
});

test('the response to an order is delivered after its connection was gone for long', async t => {
  // Guards against orders that have run and are reported with an unknown outcome.
  const upstream = createHeldUpstream();
  const {send, link} = await createHopFixture(t, upstream.handle);
  const {ended} = send(false);
  await waitUntil('running', () => upstream.runsCount() === 1);
  link.setDefaultMode('reset');
  await sleep(50);
  upstream.release();
  await sleep(2000);
  link.setDefaultMode('open');
  t.is(describeResult(await ended), 'done');
  t.is(upstream.runsCount(), 1);
});

test('a read whose sender did not reconnect may be sent to another node', async t => {
  // Guards against clients that get 504 for a read that its node stopped by itself.
  const upstream = createHeldUpstream();
  const {listener} = await createHopFixture(t, upstream.handle);
  const hop = createOutgoingHop({
    body: Buffer.alloc(0),
    startedMillis: 0,
    onEnd: () => undefined,
    request: createHopRequest(true),
  });
  const before = connect(t, listener.port);
  before.connection.send(FRAME_KIND.request, 1, hop.request);
  await waitUntil('running', () => upstream.runsCount() === 1);
  before.connection.destroy();
  await waitUntil('cancelled', () => upstream.cancelledCount() === 1);
  const after = connect(t, listener.port);
  after.connection.send(FRAME_KIND.claim, 1, Buffer.from(hop.hopId));
  after.connection.send(FRAME_KIND.ping, 0);
  await waitUntil('claimed', () => after.payloadOf(FRAME_KIND.pong) === '');
  t.is(after.payloadOf(FRAME_KIND.claimed), 'gone');
  t.is(after.payloadOf(FRAME_KIND.answer), undefined);
});

test('a client that leaves while the connection is gone ends the run once there is one', async t => {
  // Guards against upstreams that work on for a client that has left.
  const upstream = createHeldUpstream();
  const {send, link} = await createHopFixture(t, upstream.handle, {
    leftMillis: LEFT_MILLIS,
  });
  const {ended, cancel} = send(false);
  await waitUntil('running', () => upstream.runsCount() === 1);
  link.setDefaultMode('reset');
  await sleep(50);
  cancel();
  t.is(describeResult(await ended), 'lost cancelled');
  t.is(upstream.cancelledCount(), 0);
  link.setDefaultMode('open');
  await waitUntil('cancelled', () => upstream.cancelledCount() === 1);
  t.is(upstream.runsCount(), 1);
});

test('a cancellation that is lost with its connection is sent again', async t => {
  // As above, with a client that leaves before the loss of the connection is detected.
  const upstream = createHeldUpstream();
  const {send, link, replacedCount} = await createHopFixture(
    t,
    upstream.handle,
    {leftMillis: LEFT_MILLIS},
  );
  const left = send(false);
  const other = send(false);
  await waitUntil('running', () => upstream.runsCount() === 2);
  t.true(link.stallOpenConnections() > 0);
  left.cancel();
  await waitUntil('cancelled', () => upstream.cancelledCount() === 1);
  await waitUntil('replaced', () => replacedCount() === 1);
  upstream.release();
  t.is(describeResult(await other.ended), 'done');
  t.is(upstream.cancelledCount(), 1);
});

/** Opens a connection on which the test decides what is sent. */
function connect(t: ExecutionContext, port: number) {
  const frames: Frame[] = [];
  const connection = openFrameConnection(
    {address: '127.0.0.1', port},
    {
      onConnected: () => undefined,
      onDataReceived: () => undefined,
      onFrame: frame => frames.push(frame),
      onClosed: () => undefined,
    },
  );
  t.teardown(() => {
    connection.destroy();
  });
  return {
    connection,
    payloadOf: (kind: number): string | undefined =>
      frames.find(frame => frame.kind === kind)?.payload.toString(),
  };
}
