/**
 * Connections to an upstream on which it has rejected an order.
 */
import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import net from 'node:net';
import test from 'ava';
import {createConnectionIds} from '../../../src/connection/connection_ids.js';
import type {UpstreamResult} from '../../../src/connection/upstream_result.js';
import {toUpstreamResult} from '../../../src/connection/upstream_result.js';
import {createFailedDispatches} from '../../../src/process/retries/failed_dispatches.js';
import {FULMARHOLLOW_HEADERS} from '../../../src/protocol/fulmarhollow_headers.js';
import type {SenderFixture} from '../../fakes/sender_fixture.js';
import {startSenderFixture, upstreamOrder} from '../../fakes/sender_fixture.js';

const NOT_EXECUTED = {[FULMARHOLLOW_HEADERS.notExecuted]: '1'};

interface Arrival {
  readonly socket: Socket;
  readonly response: ServerResponse;
}

/** Resolves with the next request that arrives. */
async function nextArrival({server}: SenderFixture): Promise<Arrival> {
  const [request, response] = (await once(server, 'request')) as [
    IncomingMessage,
    ServerResponse,
  ];
  return {socket: request.socket, response};
}

test('a rejected order is dispatched again on an idle connection that has not rejected it', async t => {
  // Guards against new connections to a busy upstream, which may reset them.
  const fixture = await startSenderFixture(t, FULMARHOLLOW_HEADERS);
  const rejectedArrival = nextArrival(fixture);
  const rejected = fixture.send('o1');
  const first = await rejectedArrival;
  const otherArrival = nextArrival(fixture);
  const other = fixture.send('o2');
  const second = await otherArrival;
  second.response.end();
  await other;
  first.response.writeHead(503, NOT_EXECUTED).end();
  t.like(await rejected, {kind: 'not-run', reason: 'not-executed'});
  const arrival = nextArrival(fixture);
  const repeated = fixture.send('o1');
  const third = await arrival;
  t.is(third.socket, second.socket);
  third.response.end();
  t.is((await repeated).kind, 'answered');
  t.is(fixture.connectionsCount, 2);
});

test('a rejected order is dispatched again on a new connection if there is no other', async t => {
  // Guards against a copied rejection that is read as the response to the next dispatch.
  const fixture = await startSenderFixture(t, FULMARHOLLOW_HEADERS);
  for (const isLast of [false, false, true]) {
    const arrival = nextArrival(fixture);
    const sent = fixture.send('o1');
    const {response} = await arrival;
    response.writeHead(isLast ? 200 : 503, isLast ? {} : NOT_EXECUTED).end();
    t.is((await sent).kind, isLast ? 'answered' : 'not-run');
  }
  t.is(fixture.connectionsCount, 3);
});

test('a second rejection of an order on one connection leaves its outcome unknown', t => {
  // Guards against evidence from a connection that could not be avoided.
  const connection = new net.Socket();
  const options = {
    wireHeaders: FULMARHOLLOW_HEADERS,
    connectionIds: createConnectionIds(),
    failedDispatches: createFailedDispatches(() => 0),
    nowMillis: () => 0,
  };
  let discardedCount = 0;
  const reject = (attemptId: string): UpstreamResult =>
    toUpstreamResult(
      {
        kind: 'answer',
        answer: {
          statusCode: 503,
          headers: Object.entries(NOT_EXECUTED).flat(),
          bodyStart: Buffer.alloc(0),
          bodyRest: undefined,
          isUnframed: false,
        },
        connection,
        discardConnection: () => {
          discardedCount += 1;
        },
      },
      upstreamOrder(attemptId),
      options,
    );
  t.like(reject('o1'), {kind: 'not-run', reason: 'not-executed'});
  t.like(reject('o2'), {kind: 'not-run', reason: 'not-executed'});
  t.like(reject('o1'), {kind: 'unknown', reason: 'broken-answer'});
  t.is(discardedCount, 1);
});
