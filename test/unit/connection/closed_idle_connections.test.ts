/**
 * Requests that are sent while a closed connection is still in the pool.
 */
import http from 'node:http';
import {Socket} from 'node:net';
import test from 'ava';
import {HEADERS} from '../../../platform/wire_names.js';
import {avoidConnections} from '../../../src/connection/keep_alive_agent.js';
import type {UpstreamResult} from '../../../src/connection/upstream_result.js';
import {startSenderFixture, upstreamOrder} from '../../fakes/sender_fixture.js';

/** Id of the order whose response has the id of another request. */
const MISMATCHED_ID = 'mismatched';

test('an order that follows a discarded response in the same turn is not lost', async t => {
  // Guards against an order without an outcome, sent on a connection just closed.
  const fixture = await startSenderFixture(t, HEADERS);
  fixture.server.on('request', (request, response) => {
    const id = String(request.headers['attempt-id']);
    response.writeHead(200, {
      'attempt-id': id === MISMATCHED_ID ? 'other' : id,
      'response-signature': 's',
    });
    response.end();
  });
  // Two idle connections: the agent itself removes a single closed one.
  await Promise.all(['o1', 'o2'].map(fixture.send));
  const following = await new Promise<UpstreamResult>(resolve => {
    fixture.sender.send(upstreamOrder(MISMATCHED_ID), result => {
      t.is(result.kind, 'unknown');
      fixture.sender.send(upstreamOrder('o3'), resolve);
    });
  });
  t.is(following.kind, 'answered');
  t.is(fixture.connectionsCount, 2);
});

test('closed connections are not preferred to one that is avoided', t => {
  // Guards against a request on an avoided connection, once all others have been closed.
  const agent = new http.Agent();
  const to = {address: '127.0.0.1', port: 1};
  const avoided = new Socket();
  const closed = new Socket();
  closed.destroy();
  const name = agent.getName({host: to.address, port: to.port});
  const pools = agent.freeSockets as Record<string, Socket[]>;
  pools[name] = [avoided, closed];
  avoidConnections(agent, to, connection => connection === avoided);
  t.true(avoided.destroyed);
});
