/**
 * Acceptance of host lists and merging of statuses.
 */
import test from 'ava';
import type {HostStatus} from '../../../src/process/fleet_view.js';
import {
  UNLISTED_STATUS_MILLIS,
  UNLISTED_STATUSES_COUNT,
} from '../../../src/process/host_status_table.js';
import {createFleetView} from '../../../src/process/in_memory_fleet_view.js';
import {createHostListBytes} from '../../fakes/control_nodes.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';

const HOSTS = [
  {hostName: 'a-1', port: 1001, availabilityZone: 'zone-a'},
  {hostName: 'a-2', port: 1002, availabilityZone: 'zone-a'},
  {hostName: 'b-1', port: 1003, availabilityZone: 'zone-b'},
];

function createView() {
  const metrics = createCountingMetrics();
  const time = createManualTimeSource();
  return {metrics, time, view: createFleetView({metrics, time})};
}

function status(
  hostName: string,
  incarnationMillis: number,
  sequence: number,
  phase: HostStatus['phase'] = 'serving',
): HostStatus {
  return {hostName, incarnationMillis, sequence, phase};
}

const OFFERS = [
  {
    title: 'a higher revision',
    bytes: createHostListBytes(8, HOSTS),
    kind: 'accepted',
    revision: 8,
  },
  {
    title: 'the same list',
    bytes: createHostListBytes(7, HOSTS),
    kind: 'already-held',
    revision: 7,
  },
  {
    title: 'a lower revision',
    bytes: createHostListBytes(6, HOSTS),
    kind: 'older',
    revision: 7,
  },
  {
    title: 'the same revision with other hosts',
    bytes: createHostListBytes(7, HOSTS.slice(1)),
    kind: 'digest-conflict',
    revision: 7,
  },
  {
    title: 'a truncated list',
    bytes: createHostListBytes(8, HOSTS).slice(0, -9),
    kind: 'invalid',
    revision: 7,
  },
] as const;

for (const {title, bytes, kind, revision} of OFFERS) {
  test(`${title} is ${kind}`, t => {
    const {view, metrics} = createView();
    let changesCount = 0;
    view.onDidChangeList(() => (changesCount += 1));
    view.offerList(createHostListBytes(7, HOSTS), 'test');
    t.is(view.offerList(bytes, 'test').kind, kind);
    t.is(view.listRevision(), revision);
    t.is(changesCount, revision - 6);
    t.is(metrics.countOf('fleet.list_offers'), 2);
  });
}

test('a status replaces only an older one and changes all indexes', t => {
  const {view} = createView();
  view.offerList(createHostListBytes(1, HOSTS), 'test');
  const steps = [
    {offered: status('a-1', 10, 2, 'draining'), isNews: true, accepts: false},
    {offered: status('a-1', 10, 1, 'serving'), isNews: false, accepts: false},
    {offered: status('a-1', 10, 2, 'serving'), isNews: false, accepts: false},
    {offered: status('a-1', 9, 9, 'serving'), isNews: false, accepts: false},
    {offered: status('a-1', 10, 3, 'stopped'), isNews: true, accepts: false},
    {offered: status('a-1', 11, 1, 'serving'), isNews: true, accepts: true},
  ];
  for (const {offered, isNews, accepts} of steps) {
    t.is(view.mergeStatuses([offered]).length, isNews ? 1 : 0);
    const [inZone] = view.hostsIn('zone-a').filter(h => h.host.name === 'a-1');
    const [inService] = view
      .hostsOf('orderdesk')
      .filter(h => h.host.name === 'a-1');
    t.is(inZone?.acceptsNewWork, accepts);
    t.is(inService, inZone);
    t.is(view.host('a-1'), inZone);
  }
});

test('the digest depends on the statuses, not on their order', t => {
  const first = createView().view;
  const second = createView().view;
  const statuses = HOSTS.map(host => status(host.hostName, 5, 1));
  for (const view of [first, second]) {
    view.offerList(createHostListBytes(1, HOSTS), 'test');
  }
  first.mergeStatuses(statuses);
  second.mergeStatuses([...statuses].reverse());
  t.is(first.statusDigest(), second.statusDigest());
  second.mergeStatuses([status('b-1', 5, 2, 'draining')]);
  t.not(first.statusDigest(), second.statusDigest());
});

/*
 * Symptom: nodes ask one another for all statuses at every heartbeat, for good.
 * Events: a host leaves the list; some processes forget its status, others
 * still hold it; their digests differ and the full exchange brings it back.
 * Cause: a digest over hosts that are no longer listed.
 */
test('statuses of hosts that left the list are not in the digest and are forgotten', t => {
  const {view, time, metrics} = createView();
  view.offerList(createHostListBytes(1, HOSTS), 'test');
  view.mergeStatuses(HOSTS.map(host => status(host.hostName, 5, 1)));
  view.offerList(createHostListBytes(2, HOSTS.slice(1)), 'test');
  const fresh = createView().view;
  fresh.offerList(createHostListBytes(2, HOSTS.slice(1)), 'test');
  fresh.mergeStatuses(HOSTS.slice(1).map(host => status(host.hostName, 5, 1)));
  t.is(view.statusDigest(), fresh.statusDigest());
  t.is(view.statuses().length, 2);

  time.advance(UNLISTED_STATUS_MILLIS);
  view.mergeStatuses([status('unlisted', 1, 1)]);
  t.is(metrics.countOf('fleet.status_forgotten'), 1);
});

test('an announcement that is ahead of the list holds when the host is listed', t => {
  const {view} = createView();
  view.mergeStatuses([status('a-2', 5, 1, 'draining')]);
  view.offerList(createHostListBytes(1, HOSTS), 'test');
  t.false(view.host('a-2')?.acceptsNewWork);
  t.is(view.statuses().length, 1);
});

test('statuses that are malformed or beyond the bound are dropped and counted', t => {
  const {view, metrics} = createView();
  const flood = Array.from({length: UNLISTED_STATUSES_COUNT + 5}, (_, index) =>
    status(`host-${String(index)}`, 1, 1),
  );
  t.is(view.mergeStatuses(flood).length, UNLISTED_STATUSES_COUNT);
  const malformed = [status('', 1, 1), status('x', 2 ** 60, 1)];
  t.is(view.mergeStatuses(malformed).length, 0);
  t.is(metrics.countOf('fleet.status_dropped'), 7);
});
