import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {FrameConnection} from '../../../src/connection/frame_connection.js';
import {openFrameConnection} from '../../../src/connection/frame_connection.js';
import type {IncomingHop} from '../../../src/connection/incoming_hop.js';
import {createOutgoingHop} from '../../../src/connection/outgoing_hop.js';
import type {OutgoingHop} from '../../../src/connection/outgoing_hop.js';
import type {Frame} from '../../../src/protocol/hop_frames.js';
import {FRAME_KIND} from '../../../src/protocol/hop_frames.js';
import {
  createHopFixture,
  createHopRequest,
  respondWith,
} from '../../fakes/hop_fixture.js';
import {waitUntil} from '../../fakes/wait_until.js';

const OLD_CHANNEL = 1;
const NEW_CHANNEL = 9;

/** A connection of a sender that decides itself what it writes. */
interface RawPeer {
  readonly connection: FrameConnection;
  received(kind: number): boolean;
}

async function connectRawPeer(
  t: ExecutionContext,
  port: number,
): Promise<RawPeer> {
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
  const received = (kind: number): boolean =>
    frames.some(frame => frame.kind === kind);
  await waitUntil('connected', () => received(FRAME_KIND.hello));
  return {connection, received};
}

function createOrder(): OutgoingHop {
  return createOutgoingHop({
    body: Buffer.from('xyz'),
    startedMillis: 0,
    onEnd: () => undefined,
    request: createHopRequest(false),
  });
}

/** A request whose sender has replaced its connection while it sent the body. */
async function replaceConnection(
  t: ExecutionContext,
  handle: (hop: IncomingHop) => Promise<void>,
) {
  const {listener} = await createHopFixture(t, handle);
  const hop = createOrder();
  const before = await connectRawPeer(t, listener.port);
  before.connection.send(FRAME_KIND.request, OLD_CHANNEL, hop.request);
  await waitUntil('body requested', () =>
    before.received(FRAME_KIND.bodyWanted),
  );
  before.connection.send(FRAME_KIND.body, OLD_CHANNEL, Buffer.from('old 1 '));
  const after = await connectRawPeer(t, listener.port);
  after.connection.send(FRAME_KIND.claim, NEW_CHANNEL, Buffer.from(hop.hopId));
  await waitUntil('body requested again', () =>
    after.received(FRAME_KIND.bodyWanted),
  );
  return {before, after};
}

/** Waits until the listener has processed all frames of a connection. */
async function drain({connection, received}: RawPeer): Promise<void> {
  connection.send(FRAME_KIND.ping, 0);
  await waitUntil('drained', () => received(FRAME_KIND.pong));
}

test('data of a replaced connection does not get into the body that is sent again', async t => {
  // Guards against orders that run with a body that no client sent.
  let body: Buffer | undefined;
  const {before, after} = await replaceConnection(t, async hop => {
    body = await hop.fetchBody();
    respondWith(hop, 'done');
  });
  after.connection.send(FRAME_KIND.body, NEW_CHANNEL, Buffer.from('new 1 '));
  await drain(after);
  before.connection.send(FRAME_KIND.body, OLD_CHANNEL, Buffer.from('old 2 '));
  before.connection.send(FRAME_KIND.bodyEnd, OLD_CHANNEL, Buffer.from('old 3'));
  await drain(before);
  after.connection.send(FRAME_KIND.bodyEnd, NEW_CHANNEL, Buffer.from('new 2'));
  await waitUntil('answered', () => after.received(FRAME_KIND.answer));
  t.is(String(body), 'new 1 new 2');
  t.false(before.received(FRAME_KIND.answer));
});

test('a cancellation on a replaced connection does not cancel the resumed request', async t => {
  // Guards against a resumed request that a late frame of its old connection ends.
  let isCancelled = false;
  const {before, after} = await replaceConnection(t, async hop => {
    hop.cancel.onCancel(() => (isCancelled = true));
    await hop.fetchBody();
    respondWith(hop, 'done');
  });
  before.connection.send(FRAME_KIND.cancel, OLD_CHANNEL);
  await drain(before);
  after.connection.send(FRAME_KIND.bodyEnd, NEW_CHANNEL, Buffer.from('new'));
  await waitUntil('answered', () => after.received(FRAME_KIND.answer));
  t.false(isCancelled);
});
