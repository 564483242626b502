import test from 'ava';
import fc from 'fast-check';
import {
  createKeyView,
  ELECTORS_MAXIMUM_COUNT,
  quorumCount,
} from '../../../src/process/key_view.js';
import {
  createZoneList,
  createZoneView,
  OWNER,
  POLICY,
} from '../../fakes/keyed_nodes.js';

const namesOf = (count: number): readonly string[] =>
  Array.from({length: count}, (_, number) => `h${String(number)}`);

test('a zone prefix names the zone, another prefix does not', t => {
  const list = createZoneList(1, ['h1']);
  const abroad = {...list.hosts[0]!, name: 'far', availabilityZone: 'zb'};
  const view = createKeyView(
    POLICY,
    {...list, hosts: [...list.hosts, abroad]},
    OWNER,
  );
  t.is(view.homeOf('za.17', 'desk'), 'h1');
  t.is(view.homeOf('zb.17', 'desk'), 'far');
  const homes = namesOf(50).map(name => view.homeOf(`zc.${name}`, 'desk'));
  t.deepEqual(new Set(homes), new Set(['h1', 'far']));
  t.is(view.homeOf('za.17', 'other'), undefined);
});

test('leaving hosts keep their keys; a host that is gone moves only its own', t => {
  const before = createZoneView(createZoneList(1, namesOf(5)));
  const leaving = createZoneList(2, namesOf(5)).hosts.map(host => ({
    ...host,
    state: 'leaving' as const,
  }));
  const during = createZoneView({revision: 2, hosts: leaving});
  const after = createZoneView(createZoneList(3, namesOf(4)));
  for (const key of namesOf(200).map(name => `za.${name}`)) {
    const home = before.homeOf(key, 'desk');
    t.is(during.homeOf(key, 'desk'), home);
    if (home !== 'h4') t.is(after.homeOf(key, 'desk'), home);
  }
});

test('quorums of lists that differ by one host intersect', t => {
  fc.assert(
    fc.property(fc.integer({min: 1, max: 90}), count => {
      const smaller = createZoneView(createZoneList(1, namesOf(count)));
      const larger = createZoneView(createZoneList(2, namesOf(count + 1)));
      const union = new Set([...smaller.electors, ...larger.electors]);
      const quorums =
        quorumCount(smaller.electors.length) +
        quorumCount(larger.electors.length);
      return quorums > union.size;
    }),
    {seed: 1},
  );
  const view = createZoneView(createZoneList(1, namesOf(83)));
  t.is(view.electors.length, ELECTORS_MAXIMUM_COUNT);
});
