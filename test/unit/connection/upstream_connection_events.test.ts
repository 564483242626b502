/**
 * Events of the connections to an upstream that explain what its responses are.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import test from 'ava';
import type {RepeatedDispatch} from '../../../src/connection/upstream_result.js';
import type {EndedResponse} from '../../../src/connection/upstream_sender.js';
import {FULMARHOLLOW_HEADERS} from '../../../src/protocol/fulmarhollow_headers.js';
import {startSenderFixture} from '../../fakes/sender_fixture.js';
import {waitUntil} from '../../fakes/wait_until.js';

const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

for (const end of ['closed', 'reset'] as const) {
  test(`the end of a response without a length is reported: ${end}`, async t => {
    // Guards against a reset that leaves no line, since it came right behind data.
    const reported: EndedResponse[] = [];
    const fixture = await startSenderFixture(t, FULMARHOLLOW_HEADERS, {
      onUnframedEnd: (_request, ended) => reported.push(ended),
    });
    fixture.server.on('request', ({socket}: IncomingMessage) => {
      socket.write(`${UNFRAMED_HEAD}part`, () => {
        if (end === 'reset') socket.resetAndDestroy();
        else socket.end();
      });
    });
    await fixture.sendRead('r1');
    t.deepEqual(reported, [
      {end, connectionId: 1, receivedBytes: UNFRAMED_HEAD.length + 4},
    ]);
  });
}

test('a response without a body does not end with its connection', async t => {
  // Guards against lines and listeners that kept connections collect.
  const reported: EndedResponse[] = [];
  const fixture = await startSenderFixture(t, FULMARHOLLOW_HEADERS, {
    onUnframedEnd: (_request, ended) => reported.push(ended),
  });
  const sockets = new Set<Socket>();
  fixture.server.on(
    'request',
    ({socket}: IncomingMessage, response: ServerResponse) => {
      sockets.add(socket);
      response.writeHead(204).end();
    },
  );
  await fixture.sendRead('r1');
  await fixture.sendRead('r2');
  t.is(fixture.connectionsCount, 1);
  for (const socket of sockets) socket.end();
  await waitUntil('closed', () =>
    [...sockets].every(({destroyed}) => destroyed),
  );
  t.deepEqual(reported, []);
});

test('invalid bytes after a complete response are reported', async t => {
  // Guards against a response that a second one has filled up, without a line.
  const connectionIds: number[] = [];
  const fixture = await startSenderFixture(t, FULMARHOLLOW_HEADERS, {
    onExcessBytes: (_request, connectionId) => connectionIds.push(connectionId),
  });
  fixture.server.on('request', ({socket}: IncomingMessage) => {
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok, and more');
  });
  t.is((await fixture.sendRead('r1')).kind, 'answered');
  await waitUntil('reported', () => connectionIds.length > 0);
  t.deepEqual(connectionIds, [1]);
});

test('the response to a repeated dispatch is reported with its connections', async t => {
  // Guards against a late response to the first dispatch that can't be told from the second.
  const reported: RepeatedDispatch[] = [];
  const fixture = await startSenderFixture(t, FULMARHOLLOW_HEADERS, {
    onRepeatedDispatch: (_request, dispatch) => reported.push(dispatch),
  });
  let arrivalsCount = 0;
  fixture.server.on('request', (_request, response: ServerResponse) => {
    arrivalsCount += 1;
    response.writeHead(arrivalsCount === 1 ? 500 : 200).end();
  });
  await fixture.sendRead('r1');
  await fixture.sendRead('r2');
  t.deepEqual(reported, []);
  await fixture.sendRead('r1');
  t.like(reported, [{statusCode: 200, earlierConnectionIds: [1]}]);
});
