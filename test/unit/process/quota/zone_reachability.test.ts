import test from 'ava';
import {createZoneReachability} from '../../../../src/process/quota/zone_reachability.js';

const host = (index: number) => ({
  hostKey: `host-${String(index)}`,
  zone: 'zone-b',
});

test('a zone counts as partitioned when several of its nodes do not respond, until a message arrives', t => {
  let now = 0;
  const reachability = createZoneReachability(() => now);
  reachability.recordReceived('zone-b');
  now = 1000;
  reachability.recordTimeout(host(1));
  t.false(reachability.isPartitioned('zone-b'));
  reachability.recordTimeout(host(2));
  t.true(reachability.isPartitioned('zone-b'));
  now = 60_000;
  t.true(reachability.isPartitioned('zone-b'));
  reachability.recordReceived('zone-b');
  t.false(reachability.isPartitioned('zone-b'));
  t.false(reachability.hasRecentFailure(host(1)));
});

test('nodes that have exited do not make their zone count as partitioned', t => {
  let now = 0;
  const reachability = createZoneReachability(() => now);
  reachability.recordClosed(host(1));
  reachability.recordClosed(host(2));
  reachability.recordClosed(host(3));
  t.false(reachability.isPartitioned('zone-b'));
  t.true(reachability.hasRecentFailure(host(1)));
  now = 500;
  t.false(reachability.hasRecentFailure(host(1)));
});

test('only the node that does not respond is skipped if others in its zone do', t => {
  let now = 0;
  const reachability = createZoneReachability(() => now);
  reachability.recordTimeout(host(1));
  now = 10;
  reachability.recordReceived('zone-b');
  reachability.recordTimeout(host(2));
  t.false(reachability.isPartitioned('zone-b'));
  t.true(reachability.hasRecentFailure(host(2)));
});
