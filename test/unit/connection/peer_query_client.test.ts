import type {Socket} from 'node:net';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import {acceptFrameConnection} from '../../../src/connection/frame_connection.js';
import {createPeerQueryClient} from '../../../src/connection/peer_query_client.js';
import type {Frame} from '../../../src/protocol/hop_frames.js';
import {FRAME_KIND} from '../../../src/protocol/hop_frames.js';

const ADDRESS = '127.0.0.1';

type Answer = (
  frame: Frame,
  send: (kind: number, channelId: number, payload: Buffer) => void,
  socket: Socket,
) => void;

/** A node that answers questions as a test says, and counts connections. */
async function startPeer(t: ExecutionContext, answer: Answer) {
  const sockets = new Set<Socket>();
  let connectionsCount = 0;
  const server = createServer(socket => {
    connectionsCount += 1;
    sockets.add(socket);
    const connection = acceptFrameConnection(socket, {
      onDataReceived: () => undefined,
      onFrame: frame => {
        answer(
          frame,
          (kind, channelId, payload) => {
            connection.send(kind as typeof FRAME_KIND.pong, channelId, payload);
          },
          socket,
        );
      },
      onClosed: () => sockets.delete(socket),
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, ADDRESS, resolve);
  });
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const {port} = server.address() as AddressInfo;
  return {
    endpoint: {address: ADDRESS, port},
    get connectionsCount() {
      return connectionsCount;
    },
  };
}

function startLinks(t: ExecutionContext) {
  const links = createPeerQueryClient({
    responseKind: FRAME_KIND.quotas,
    nowMillis: () => performance.now(),
  });
  t.teardown(links.dispose);
  return links;
}

test('questions on one connection get their own answers, whatever their order', async t => {
  const held: (() => void)[] = [];
  const peer = await startPeer(t, ({channelId, payload}, send) => {
    held.unshift(() => {
      send(FRAME_KIND.quotas, channelId, payload);
    });
    if (held.length < 3) return;
    for (const release of held) release();
  });
  const links = startLinks(t);
  const texts = ['a', 'b', 'c'];
  const answers = await Promise.all(
    texts.map(text => links.query(peer.endpoint, Buffer.from(text))),
  );
  t.deepEqual(answers.map(String), texts);
  t.is(peer.connectionsCount, 1);
});

test('a node that has ended is told apart from one that is silent', async t => {
  const links = startLinks(t);
  const question = Buffer.from('?');
  const silent = await startPeer(t, () => undefined);
  const ending = await startPeer(t, (_frame, _send, socket) => {
    socket.destroy();
  });
  const refused = {address: ADDRESS, port: 1};
  t.is(await links.query(silent.endpoint, question), 'silent');
  t.is(await links.query(ending.endpoint, question), 'closed');
  t.is(await links.query(refused, question), 'closed');
});

test('an answer of another kind, as of an earlier version, is none', async t => {
  const links = startLinks(t);
  const peer = await startPeer(t, ({channelId}, send) => {
    send(FRAME_KIND.pong, channelId, Buffer.from('[]'));
  });
  t.is(await links.query(peer.endpoint, Buffer.from('?')), 'closed');
});
