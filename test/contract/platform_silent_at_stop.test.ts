/**
 * Reads of a stopping node at an upstream whose node does not reply any more.
 */
import test from 'ava';
import {createPath} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

/** Longer than the grace period of a stop. */
const TIMEOUT_S = 20;

const READ_PATH = createPath({timeoutS: TIMEOUT_S});

for (const isStopping of [false, true]) {
  const state = isStopping ? 'a stopping' : 'an';
  test(`a read of ${state} entry node goes to another upstream if the node of its own does not reply`, async t => {
    // Guards against reads that wait at a node that is gone until the end of the grace
    // period, although another upstream is free and the first attempt would continue.
    const fleet = await startFleet(t, {
      services: ['shop', 'orders', 'orders'],
      paths: [READ_PATH],
      hasLinks: true,
    });
    const [shop, ...orders] = fleet.hosts;
    const held = (): number =>
      orders.filter(({upstream}) => upstream.runIds.includes('held')).length;
    for (const {upstream} of orders) {
      upstream.setHandler(request => {
        if (held() > 1) request.respond(200, upstream.id);
      });
    }
    const ended = fleet.send(shop!, {
      attemptId: 'held',
      timeoutMillis: TIMEOUT_S * 1000,
      path: '/a/1',
    });
    await waitUntil('at work', () => held() === 1);
    const first = orders.find(({upstream}) => upstream.runIds.length > 0);
    const stopped = isStopping ? shop!.node.stop() : undefined;
    first!.link?.setDefaultMode('silent');
    const {statusCode} = await ended;
    first!.link?.setDefaultMode('open');
    await stopped;
    t.is(statusCode, 200);
    t.is(held(), 2);
  });
}
