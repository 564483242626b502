import test from 'ava';
import {createZoneReachability} from '../../../../src/process/quota/zone_reachability.js';

const host = (index: number) => ({
  hostKey: `host-${String(index)}`,
  zone: 'zone-b',
});

test('a zone counts as cut off when several of its nodes are silent, until one is heard', t => {
  let now = 0;
  const reach = createZoneReachability(() => now);
  reach.recordReceived('zone-b');
  now = 1000;
  reach.recordTimeout(host(1));
  t.false(reach.isPartitioned('zone-b'));
  reach.recordTimeout(host(2));
  t.true(reach.isPartitioned('zone-b'));
  now = 60_000;
  t.true(reach.isPartitioned('zone-b'));
  reach.recordReceived('zone-b');
  t.false(reach.isPartitioned('zone-b'));
  t.false(reach.hasRecentFailure(host(1)));
});

test('nodes that have ended do not make their zone cut off', t => {
  let now = 0;
  const reach = createZoneReachability(() => now);
  reach.recordClosed(host(1));
  reach.recordClosed(host(2));
  reach.recordClosed(host(3));
  t.false(reach.isPartitioned('zone-b'));
  t.true(reach.hasRecentFailure(host(1)));
  now = 500;
  t.false(reach.hasRecentFailure(host(1)));
});

test('a silent node in a zone of which others are heard is passed over alone', t => {
  let now = 0;
  const reach = createZoneReachability(() => now);
  reach.recordTimeout(host(1));
  now = 10;
  reach.recordReceived('zone-b');
  reach.recordTimeout(host(2));
  t.false(reach.isPartitioned('zone-b'));
  t.true(reach.hasRecentFailure(host(2)));
});
