import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import type {SendToNode} from '../fakes/announced_load.js';
import {lateArrivals, sendSteadily} from '../fakes/announced_load.js';
import type {PlatformFleet} from '../fakes/platform_fleet.js';
import {SAFE_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';

function sendTo(fleet: PlatformFleet): SendToNode {
  return (nodeIndex, request) => fleet.send(fleet.hosts[nodeIndex]!, request);
}

test('an upstream that announces that it is leaving gets no new requests', async t => {
  // Guards against requests to an upstream that leaves without a published entry, or
  // whose entry cannot be read, until it exits under them.
  const fleet = await startFleet(t, {
    services: ['shop', 'desk', 'orders', 'orders'],
    paths: [SAFE_PATH],
  });
  const [, , leaving, staying] = fleet.hosts;
  leaving!.upstream.announce({isLeaving: true});
  const load = sendSteadily(sendTo(fleet), {
    nodeIndexes: [0, 1, 2, 3],
    perSecond: 80,
    durationMillis: 5000,
  });
  await sleep(2500);
  fleet.publish(leaving!, {seq: 2});
  fleet.store.setMode('silent');
  const exchanges = await load;
  const lateIds = lateArrivals(exchanges, leaving!.upstream.arrivals);
  t.is(lateIds.length, 0, lateIds.join(' '));
  t.true(leaving!.upstream.arrivals.length > 0);
  t.true(staying!.upstream.arrivals.length > 200);
  t.true(exchanges.every(({answer}) => answer?.statusCode === 200));
});
