import test from 'ava';
import {createZoneReach} from '../../../../src/process/quota/zone_reach.js';

const host = (index: number) => ({
  hostKey: `host-${String(index)}`,
  zone: 'zone-b',
});

test('a zone counts as cut off when several of its nodes are silent, until one is heard', t => {
  let now = 0;
  const reach = createZoneReach(() => now);
  reach.noteHeard('zone-b');
  now = 1000;
  reach.noteSilent(host(1));
  t.false(reach.isCutOff('zone-b'));
  reach.noteSilent(host(2));
  t.true(reach.isCutOff('zone-b'));
  now = 60_000;
  t.true(reach.isCutOff('zone-b'));
  reach.noteHeard('zone-b');
  t.false(reach.isCutOff('zone-b'));
  t.false(reach.isFailing(host(1)));
});

test('nodes that have ended do not make their zone cut off', t => {
  let now = 0;
  const reach = createZoneReach(() => now);
  reach.noteClosed(host(1));
  reach.noteClosed(host(2));
  reach.noteClosed(host(3));
  t.false(reach.isCutOff('zone-b'));
  t.true(reach.isFailing(host(1)));
  now = 500;
  t.false(reach.isFailing(host(1)));
});

test('a silent node in a zone of which others are heard is passed over alone', t => {
  let now = 0;
  const reach = createZoneReach(() => now);
  reach.noteSilent(host(1));
  now = 10;
  reach.noteHeard('zone-b');
  reach.noteSilent(host(2));
  t.false(reach.isCutOff('zone-b'));
  t.true(reach.isFailing(host(2)));
});
