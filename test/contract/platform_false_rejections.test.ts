/**
 * Responses of upstreams that would tell wrongly that an order has not run.
 */
import test from 'ava';
import type {ReceivedRequest} from '../fakes/fake_upstream.js';
import {ORDER_PATH, orderRequest, SAFE_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';

const WORK_MILLIS = 150;

const REJECTIONS = [
  ['not executed', '503 Service Unavailable', 'not-executed: 1'],
  ['misdirected', '421 Misdirected Request', 'instance-id: i-9'],
] as const;

for (const [title, status, header] of REJECTIONS) {
  for (const [idTitle, idLine] of [
    ['without an id', ''],
    ['with the id of another request', 'attempt-id: other\r\n'],
  ] as const) {
    test(`an order is not offered again after a rejection ${idTitle}: ${title}`, async t => {
      // Guards against an order that runs twice: a late rejection of an earlier request
      // on the connection was taken for one of the order.
      const fleet = await startFleet(t, {
        services: ['shop', 'orders', 'orders'],
        paths: [SAFE_PATH, ORDER_PATH],
      });
      const [shop, ...orders] = fleet.hosts;
      const execute = (request: ReceivedRequest): void => {
        setTimeout(() => {
          request.socket.write(
            `HTTP/1.1 ${status}\r\n${header}\r\n${idLine}content-length: 0\r\n\r\n`,
          );
        }, WORK_MILLIS / 3);
        setTimeout(() => {
          request.respond(200, 'served');
        }, WORK_MILLIS);
      };
      for (const {upstream} of orders) upstream.setHandler(execute);
      const answer = await fleet.send(shop!, orderRequest('o1'));
      t.is(answer.statusCode, 502);
      t.deepEqual(
        orders.flatMap(({upstream}) => upstream.runIds),
        ['o1'],
      );
      const lines = orders
        .flatMap(({events}) => events)
        .filter(({event}) => event === 'order-rejected');
      // One with another id is not a rejection of this order.
      t.deepEqual(
        lines.map(({fields}) => fields['isEvidence']),
        idLine === '' ? [false] : [],
      );
    });
  }
}

for (const statusCode of [408, 429, 503]) {
  test(`an order that its upstream has executed is not reported as not run: ${String(statusCode)}`, async t => {
    // Guards against an order that its client sends again after a status that promises
    // that it has not run.
    const fleet = await startFleet(t, {
      services: ['shop', 'orders'],
      paths: [SAFE_PATH, ORDER_PATH],
    });
    const [shop, orders] = fleet.hosts;
    orders!.upstream.setHandler(request => {
      request.respond(statusCode, 'failed');
    });
    const order = await fleet.send(shop!, orderRequest('o1'));
    t.is(order.statusCode, 502);
    t.is(order.headers['response-signature'], undefined);
    t.deepEqual(orders!.upstream.runIds, ['o1']);
    const read = await fleet.send(shop!, {attemptId: 'r1', path: '/a/1'});
    t.is(read.statusCode, statusCode);
  });
}

test('a rejection with the id of an order is evidence that it was not executed', async t => {
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [SAFE_PATH, ORDER_PATH],
  });
  const [shop, orders] = fleet.hosts;
  orders!.upstream.setHandler(request => {
    request.reject();
  });
  const answer = await fleet.send(shop!, orderRequest('o1'));
  t.is(answer.statusCode, 503);
  const lines = orders!.events.filter(({event}) => event === 'order-rejected');
  const fields = {requestId: 'o1', statusCode: 503, isEvidence: true};
  t.like(lines[0]?.fields, {...fields, connectionId: 1});
});
