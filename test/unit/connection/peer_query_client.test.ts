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

type QueryHandler = (
  frame: Frame,
  send: (kind: number, channelId: number, payload: Buffer) => void,
  socket: Socket,
) => void;

/** A node that responds with the given handler and counts its connections. */
async function startPeer(t: ExecutionContext, handleQuery: QueryHandler) {
  const sockets = new Set<Socket>();
  let connectionsCount = 0;
  const server = createServer(socket => {
    connectionsCount += 1;
    sockets.add(socket);
    const connection = acceptFrameConnection(socket, {
      onDataReceived: () => undefined,
      onFrame: frame => {
        handleQuery(
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

function startClient(t: ExecutionContext) {
  const client = createPeerQueryClient({
    responseKind: FRAME_KIND.quotas,
    nowMillis: () => performance.now(),
  });
  t.teardown(client.dispose);
  return client;
}

test('concurrent queries on one connection get their own responses in any order', async t => {
  const pendingResponses: (() => void)[] = [];
  const peer = await startPeer(t, ({channelId, payload}, send) => {
    pendingResponses.unshift(() => {
      send(FRAME_KIND.quotas, channelId, payload);
    });
    if (pendingResponses.length < 3) return;
    for (const sendPending of pendingResponses) sendPending();
  });
  const client = startClient(t);
  const payloads = ['a', 'b', 'c'];
  const responses = await Promise.all(
    payloads.map(payload => client.query(peer.endpoint, Buffer.from(payload))),
  );
  t.deepEqual(responses.map(String), payloads);
  t.is(peer.connectionsCount, 1);
});

test('a closed connection is distinguished from a response timeout', async t => {
  const client = startClient(t);
  const query = Buffer.from('?');
  const silent = await startPeer(t, () => undefined);
  const ending = await startPeer(t, (_frame, _send, socket) => {
    socket.destroy();
  });
  const refused = {address: ADDRESS, port: 1};
  t.is(await client.query(silent.endpoint, query), 'silent');
  t.is(await client.query(ending.endpoint, query), 'closed');
  t.is(await client.query(refused, query), 'closed');
});

test('a response of another frame kind, as from an earlier version, is rejected', async t => {
  const client = startClient(t);
  const peer = await startPeer(t, ({channelId}, send) => {
    send(FRAME_KIND.pong, channelId, Buffer.from('[]'));
  });
  t.is(await client.query(peer.endpoint, Buffer.from('?')), 'closed');
});
