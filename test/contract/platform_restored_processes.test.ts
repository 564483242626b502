/**
 * Node processes with a store that is restored from an older copy.
 */
import test from 'ava';
import {
  startProcessFleet,
  waitForAllUpstreams,
  waitForVersion,
  activeVersions,
} from '../fakes/process_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

test('processes recover from two restores of the store, one disconnected and one restarted', async t => {
  const fleet = await startProcessFleet(t, [
    'shop',
    'orders',
    'orders',
    'orders',
  ]);
  const {store, hosts, configure, publish, restart, send} = fleet;
  const [cutOff, leaving] = hosts;
  await waitForVersion(hosts, 1);
  await waitForAllUpstreams(hosts);
  const copy = store.takeSnapshot();
  configure(2);
  publish(1, {seq: 2, state: 'draining'});
  await waitForVersion(hosts, 2);
  await waitUntil('draining', () =>
    hosts.every(({lines}) =>
      lines.some(({event}) => event === 'upstream-draining'),
    ),
  );
  const arrivedCount = leaving!.upstream.arrivedIds.length;

  for (const version of [3, 4]) {
    store.setMode('reset');
    store.restore(copy);
    restart(3);
    for (const index of [0, 2, 3]) publish(index, {seq: version});
    publish(1, {seq: version, state: 'draining'});
    configure(version);
    store.setMode('healthy');
    cutOff!.storeEndpoint.setMode('reset');
    await waitForVersion(hosts.slice(1), version);
    const answer = await send(0, {
      attemptId: `cut-off-${String(version)}`,
      path: '/a/1',
    });
    t.is(answer.statusCode, 200);
    cutOff!.storeEndpoint.setMode('healthy');
    await waitForVersion(hosts, version);
  }

  t.is(leaving!.upstream.arrivedIds.length, arrivedCount);
  for (const host of hosts) {
    const versions = activeVersions(host).map(Number);
    t.deepEqual(
      versions,
      [...versions].sort((a, b) => a - b),
    );
  }
  for (const {lines} of hosts.slice(0, 3)) {
    const restored = lines.filter(({event}) => event === 'store-restored');
    t.is(restored.at(-1)?.['epoch'], 3);
  }
});
