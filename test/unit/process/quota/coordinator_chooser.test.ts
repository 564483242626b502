import test from 'ava';
import {createCoordinatorChooser} from '../../../../src/process/quota/coordinator_chooser.js';
import type {ZonedHost} from '../../../../src/process/quota/zone_reachability.js';
import {createZoneReachability} from '../../../../src/process/quota/zone_reachability.js';

const HOSTS: readonly ZonedHost[] = Array.from({length: 12}, (_, index) => ({
  hostKey: `host-${String(index)}`,
  zone: `zone-${String(index % 3)}`,
}));

const ORGANISATIONS = Array.from(
  {length: 60},
  (_, index) => `org${String(index)}`,
);

function createChooser(ownHostKey: string, hosts = HOSTS) {
  const nowMillis = () => 0;
  const reachability = createZoneReachability(nowMillis);
  const chooser = createCoordinatorChooser({
    hosts: () => hosts,
    ownHostKey,
    reachability,
    nowMillis,
    random: () => 0.5,
  });
  return {chooser, reachability};
}

function chosenBy(ownHostKey: string, hosts = HOSTS): readonly string[] {
  const {chooser} = createChooser(ownHostKey, hosts);
  return ORGANISATIONS.map(name => chooser.choose(name)?.hostKey ?? 'none');
}

test('all nodes choose the same coordinators, distributed over the fleet', t => {
  const chosen = chosenBy('host-0');
  t.deepEqual(chosenBy('host-7'), chosen);
  t.deepEqual(chosenBy('host-7', [...HOSTS].reverse()), chosen);
  t.true(new Set(chosen).size >= 9);
});

test('the loss of a node changes the coordinators of its organisations only', t => {
  const before = chosenBy('host-0');
  const lostKey = before[0] ?? '';
  const after = chosenBy(
    'host-0',
    HOSTS.filter(({hostKey}) => hostKey !== lostKey),
  );
  for (const [index, hostKey] of after.entries()) {
    if (before[index] === lostKey) t.not(hostKey, lostKey);
    else t.is(hostKey, before[index] ?? '');
  }
});

test('nodes of a partitioned zone are skipped and do not count as reachable', t => {
  const {chooser, reachability} = createChooser('host-0');
  t.is(chooser.reachableRatio(), 1);
  for (const index of [1, 4]) reachability.recordTimeout(HOSTS[index]!);
  t.true(reachability.isPartitioned('zone-1'));
  t.is(chooser.reachableRatio(), 8 / 12);
  for (const name of ORGANISATIONS) {
    t.not(chooser.choose(name)?.zone, 'zone-1');
  }
  t.is(chooser.probeTargets('zone-1').length, 2);
});

test('an isolated node is its own coordinator', t => {
  const {chooser, reachability} = createChooser('host-0');
  for (const host of HOSTS.slice(1)) reachability.recordTimeout(host);
  t.is(chooser.choose('org1')?.hostKey, 'host-0');
  t.is(chooser.reachableRatio(), 1 / 12);
});
