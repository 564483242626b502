/**
 * Connections of a process that stalls while they are being established.
 */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {createCancelSource} from '../../../src/base/cancel_signal.js';
import {createKeepAliveAgent} from '../../../src/connection/keep_alive_agent.js';
import type {SendResult} from '../../../src/connection/send_request.js';
import {sendRequest} from '../../../src/connection/send_request.js';
import type {CancelCause} from '../../../src/protocol/cancel_cause.js';
import {createHopFixture, respondWith} from '../../fakes/hop_fixture.js';
import {stallProcess} from '../../fakes/stalled_process.js';

const CONNECT_TIMEOUT_MILLIS = 300;

/** Longer than the timeouts of connections and of replies. */
const STALL_MILLIS = 700;

test('an upstream that accepts a connection during a stall is reached', async t => {
  // Guards against sound upstreams that are suspected since this process was late.
  const server = createServer((_request, response) => {
    response.end('served');
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const agent = createKeepAliveAgent({maxIdleMillis: 1000, maxSocketsCount: 1});
  t.teardown(() => {
    agent.destroy();
    server.close();
  });
  const result = await new Promise<SendResult>(resolve => {
    sendRequest(
      {
        to: {
          address: '127.0.0.1',
          port: (server.address() as AddressInfo).port,
        },
        agent,
        method: 'GET',
        target: '/',
        headers: ['host', 'orders'],
        body: Buffer.alloc(0),
        connectTimeoutMillis: CONNECT_TIMEOUT_MILLIS,
        cancel: createCancelSource<CancelCause>().signal,
      },
      resolve,
    );
    // The connection attempt starts after the current callbacks.
    setImmediate(stallProcess, STALL_MILLIS);
  });
  t.is(result.kind, 'answer');
});

test('a node that replies during a stall is reached', async t => {
  // Guards against requests of sound nodes that are suspected since this process was late.
  const {peer} = await createHopFixture(t, hop => {
    respondWith(hop, 'done');
    return Promise.resolve();
  });
  const isReached = peer.probe(true);
  setImmediate(stallProcess, STALL_MILLIS);
  t.true(await isReached);
});
