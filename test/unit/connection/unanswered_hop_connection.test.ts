import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import {acceptFrameConnection} from '../../../src/connection/frame_connection.js';
import {createHopPeer} from '../../../src/connection/hop_peer.js';
import {createOutgoingHop} from '../../../src/connection/outgoing_hop.js';
import type {HopResult} from '../../../src/connection/outgoing_hop.js';
import type {Frame} from '../../../src/protocol/hop_frames.js';
import {FRAME_KIND} from '../../../src/protocol/hop_frames.js';
import {createHopRequest, describeResult} from '../../fakes/hop_fixture.js';
import {waitUntil} from '../../fakes/wait_until.js';

const noop = (): void => undefined;

/** A node that receives a request before any of its own data has arrived at the sender. */
async function openSilentNode(t: ExecutionContext) {
  const sockets = new Set<Socket>();
  const frames: Frame[] = [];
  let isSilent = true;
  let claimState = 'working';
  const server = createServer(socket => {
    sockets.add(socket);
    const connection = acceptFrameConnection(socket, {
      onDataReceived: noop,
      onFrame: frame => {
        frames.push(frame);
        if (frame.kind !== FRAME_KIND.claim) return;
        const state = Buffer.from(claimState);
        connection.send(FRAME_KIND.claimed, frame.channelId, state);
      },
      onClosed: () => sockets.delete(socket),
    });
    if (!isSilent) connection.send(FRAME_KIND.hello, 0, Buffer.from('first'));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const peer = createHopPeer({
    endpoint: {address: '127.0.0.1', port},
    nowMillis: () => performance.now(),
    onDataReceived: noop,
    onLoads: noop,
    onHopsResumed: noop,
  });
  t.teardown(() => {
    peer.dispose();
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return {
    peer,
    received: (kind: number): boolean =>
      frames.some(frame => frame.kind === kind),
    /** Resets all connections; the node greets and reports this state on new ones. */
    replaceConnections: (state: string) => {
      isSilent = false;
      claimState = state;
      for (const socket of sockets) socket.resetAndDestroy();
    },
  };
}

async function loseUnanswered(t: ExecutionContext, state: string) {
  const node = await openSilentNode(t);
  const ends: HopResult[] = [];
  const hop = createOutgoingHop({
    request: createHopRequest(true),
    body: Buffer.alloc(0),
    startedMillis: performance.now(),
    onEnd: end => ends.push(end),
  });
  node.peer.send(hop);
  await waitUntil('request received', () => node.received(FRAME_KIND.request));
  node.replaceConnections(state);
  await waitUntil(
    'claimed or ended',
    () => ends.length > 0 || node.received(FRAME_KIND.claim),
  );
  return {ends, hop};
}

test('a read is resumed although its connection was lost before the node replied', async t => {
  // Guards against reads that fail while their upstream is at work.
  const {ends, hop} = await loseUnanswered(t, 'working');
  t.deepEqual(ends.map(describeResult), []);
  t.true(hop.isOpen);
});

test('a read that a restarted node does not know is not reported as not run', async t => {
  // Guards against a promise of a process other than the one that received the request.
  const {ends} = await loseUnanswered(t, 'unknown');
  await waitUntil('ended', () => ends.length > 0);
  t.deepEqual(ends.map(describeResult), ['lost connection-lost']);
});
