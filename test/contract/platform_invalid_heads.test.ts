/**
 * Upstreams that send a response whose status or header cannot be passed on.
 */
import test from 'ava';
import type {ReceivedRequest} from '../fakes/fake_upstream.js';
import {
  createPath,
  ORDER_PATH,
  orderRequest,
  SAFE_PATH,
} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';

/** Well below the timeout of a route. */
const CLIENT_TIMEOUT_MILLIS = 2000;

const SLOTS_COUNT = 4;

/** Enough requests to occupy all slots if each kept one. */
const ROUNDS_COUNT = 3;

/** Status line, and header lines in addition to valid ones. */
const INVALID_HEADS = [
  ['status 000', 'HTTP/1.1 000 OK', ''],
  ['status 042', 'HTTP/1.1 042 OK', ''],
  ['status 099', 'HTTP/1.1 099 OK', ''],
  ['status 600', 'HTTP/1.1 600 OK', ''],
  ['status 999', 'HTTP/1.1 999 OK', ''],
  ['an upgrade that was not requested', 'HTTP/1.1 101 Switching', ''],
  [
    'an upgrade to a protocol',
    'HTTP/1.1 101 Switching',
    'Connection: upgrade\r\nUpgrade: other\r\n',
  ],
  ['a name with a space', 'HTTP/1.1 200 OK', 'X Cache: miss\r\n'],
  ['a space before the colon', 'HTTP/1.1 200 OK', 'X-Cache : miss\r\n'],
  ['an empty name', 'HTTP/1.1 200 OK', ': miss\r\n'],
] as const;

function respondWith(
  {attemptId, socket}: ReceivedRequest,
  statusLine: string,
  headerLines: string,
): void {
  socket.write(
    `${statusLine}\r\n${headerLines}attempt-id: ${attemptId}\r\n` +
      'response-signature: sig.spoiled\r\ncontent-length: 2\r\n\r\nno',
  );
}

for (const [title, statusLine, headerLines] of INVALID_HEADS) {
  test(`an invalid response is not passed on, and its request gets 502: ${title}`, async t => {
    // Guards against requests that are never answered: the parser accepts a status or
    // header that cannot be written, so that passing on the response failed.
    const fleet = await startFleet(t, {
      services: ['shop', 'orders'],
      slots: SLOTS_COUNT,
      paths: [SAFE_PATH, ORDER_PATH],
    });
    const [shop, orders] = fleet.hosts;
    const {upstream} = orders!;
    upstream.setHandler(request => {
      respondWith(request, statusLine, headerLines);
    });
    for (let round = 0; round < ROUNDS_COUNT; round += 1) {
      for (const [index, entry] of [shop!, orders!].entries()) {
        const id = `${String(round)}-${String(index)}`;
        const answers = await Promise.all([
          fleet.send(entry, {
            ...orderRequest(`o${id}`),
            timeoutMillis: CLIENT_TIMEOUT_MILLIS,
          }),
          fleet.send(entry, {
            attemptId: `r${id}`,
            path: '/a/1',
            timeoutMillis: CLIENT_TIMEOUT_MILLIS,
          }),
        ]);
        for (const {statusCode, headers} of answers) {
          t.is(statusCode, 502);
          t.is(headers['response-signature'], undefined);
        }
      }
    }
    const orderRuns = upstream.runIds.filter(id => id.startsWith('o'));
    t.is(orderRuns.length, new Set(orderRuns).size);
    upstream.setHandler(request => {
      request.respond(200, 'valid');
    });
    const later = await Promise.all(
      Array.from({length: SLOTS_COUNT}, (_, index) =>
        fleet.send(shop!, {attemptId: `later${String(index)}`, path: '/a/1'}),
      ),
    );
    t.deepEqual(new Set(later.map(each => each.statusCode)), new Set([200]));
  });
}

test('a read with an invalid response is served by another upstream', async t => {
  // Guards against reads that fail although one upstream of their service is sound.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders', 'orders'],
    paths: [createPath()],
  });
  const [shop, broken] = fleet.hosts;
  broken!.upstream.setHandler(request => {
    respondWith(request, 'HTTP/1.1 000 OK', '');
  });
  for (let index = 0; index < 12; index += 1) {
    const attemptId = `r${String(index)}`;
    const answer = await fleet.send(shop!, {attemptId, path: '/a/1'});
    t.is(answer.statusCode, 200);
  }
  t.true(broken!.upstream.runIds.length > 0);
});
