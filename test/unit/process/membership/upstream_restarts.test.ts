import test from 'ava';
import {createUpstreamDirectory} from '../../../../src/process/membership/upstream_directory.js';
import {upstreamEntry} from '../../../fakes/route_documents.js';

const HEARTBEAT_MILLIS = 1000;

function createFixture() {
  let now = 0;
  let configuredServices = new Set(['orders', 'atlas']);
  const changes: string[] = [];
  const directory = createUpstreamDirectory({
    nowMillis: () => now,
    heartbeatMillis: HEARTBEAT_MILLIS,
    isServiceConfigured: service => configuredServices.has(service),
    onChange: change => changes.push(`${change.kind} ${change.entry.id}`),
  });
  return {
    directory,
    changes,
    readyIds: () => directory.listReady('orders').map(({entry}) => entry.id),
    advance: (millis: number) => {
      now += millis;
      directory.removeExpired();
    },
    configure: (...services: readonly string[]) => {
      configuredServices = new Set(services);
      directory.reindex();
    },
  };
}

function bornAt(bornMillis: number, sequenceNumber: number, fields = {}) {
  return upstreamEntry({bornMillis, sequenceNumber, ...fields});
}

test('a later start under an id is slow and first seen again', t => {
  const {directory, changes, advance} = createFixture();
  directory.put([bornAt(1, 40)]);
  advance(5000);
  directory.put([bornAt(2, 1, {coldLeftMillis: 3000})]);
  t.like(directory.find('u-1'), {
    firstSeenMillis: 5000,
    coldUntilMillis: 8000,
  });
  t.deepEqual(changes, ['joined u-1', 'restarted u-1']);
});

test('an upstream that restarts does not drain like its previous start', t => {
  const {directory, changes, readyIds} = createFixture();
  directory.put([bornAt(1, 40, {isDraining: true})]);
  directory.put([bornAt(2, 1)]);
  t.deepEqual(readyIds(), ['u-1']);
  directory.put([bornAt(2, 2, {isDraining: true})]);
  t.deepEqual(readyIds(), []);
  t.deepEqual(changes, ['joined u-1', 'restarted u-1', 'draining u-1']);
});

test('an older entry of a start does not replace a newer one', t => {
  // A draining upstream got a request: two of its entries reached the store in
  // the wrong order, and the later write was used.
  const {directory, readyIds} = createFixture();
  directory.put([bornAt(1, 8, {isDraining: true})]);
  directory.put([bornAt(1, 7)]);
  t.deepEqual(readyIds(), []);
});

test('without start times, a sequence number that begins again is accepted', t => {
  const {directory, readyIds} = createFixture();
  directory.put([upstreamEntry({sequenceNumber: 40})]);
  directory.put([upstreamEntry({sequenceNumber: 1, isDraining: true})]);
  t.deepEqual(readyIds(), []);
});

test('an earlier start is used only if the later one stops writing', t => {
  // A clock that was set back would otherwise exclude an upstream permanently.
  const {directory, changes, readyIds, advance} = createFixture();
  directory.put([bornAt(9, 3)]);
  directory.put([bornAt(1, 50, {slotsCount: 5})]);
  t.is(directory.find('u-1')?.entry.bornMillis, 9);
  advance(2 * HEARTBEAT_MILLIS);
  directory.put([bornAt(9, 4)]);
  advance(2 * HEARTBEAT_MILLIS);
  t.is(directory.find('u-1')?.entry.bornMillis, 9);
  directory.put([bornAt(1, 51, {slotsCount: 5})]);
  advance(3 * HEARTBEAT_MILLIS);
  t.is(directory.find('u-1')?.entry.bornMillis, 1);
  t.deepEqual(readyIds(), ['u-1']);
  t.deepEqual(changes, [
    'joined u-1',
    'contested u-1',
    'contested u-1',
    'left u-1',
    'joined u-1',
  ]);
});

test('an upstream with an overwritten entry is removed after three heartbeats', t => {
  const {directory, readyIds, advance} = createFixture();
  directory.put([bornAt(1, 1)]);
  for (let heartbeat = 1; heartbeat <= 3; heartbeat += 1) {
    directory.markContested(['u-1', 'u-9']);
    t.deepEqual(readyIds(), ['u-1']);
    advance(HEARTBEAT_MILLIS);
  }
  t.deepEqual(readyIds(), []);
  t.true(directory.hasLeft('u-1'));
  t.is(directory.count(), 0);
});

test('an overwritten entry is not missing, and a removal takes effect', t => {
  const {directory, readyIds} = createFixture();
  directory.put([bornAt(1, 1)]);
  directory.replaceAll([], ['u-1']);
  t.deepEqual(readyIds(), ['u-1']);
  directory.remove(['u-1']);
  t.deepEqual(readyIds(), []);
});

test('an entry that changes to an unconfigured service is not applied', t => {
  const {directory, readyIds} = createFixture();
  directory.put([bornAt(1, 1)]);
  directory.put([bornAt(1, 2, {service: 'nobody-s'})]);
  t.deepEqual(readyIds(), ['u-1']);
});

test('an upstream of an unconfigured service is unused and supersedes no other', t => {
  const {directory, changes, readyIds, configure} = createFixture();
  directory.put([bornAt(1, 1)]);
  directory.put([bornAt(2, 1, {id: 'x-1', service: 'later'})]);
  t.deepEqual(readyIds(), ['u-1']);
  t.is(directory.findByHost('10.0.0.1:80')?.entry.id, 'u-1');
  t.deepEqual(changes, ['joined u-1', 'joined x-1', 'unnamed x-1']);
  configure('orders', 'later');
  t.is(directory.listReady('later').length, 1);
});

test('of two entries on one host only the later start gets requests', t => {
  // Hundreds of requests failed after a node had started. Upstreams exit with
  // their hosts, others start there, and the node reads the entries of both, as
  // those of exited upstreams stay for three heartbeats. Both were treated as
  // ready, and each choice of an exited one cost an attempt. The start times
  // show which one is alive.
  const {directory, changes, readyIds} = createFixture();
  directory.replaceAll([
    bornAt(7, 1, {id: 'new'}),
    bornAt(3, 90, {id: 'old', service: 'atlas'}),
    bornAt(2, 1, {id: 'other', hostKey: '10.0.0.2:80'}),
  ]);
  t.deepEqual(readyIds(), ['new', 'other']);
  t.deepEqual(directory.listReady('atlas'), []);
  t.true(directory.hasLeft('old'));
  t.is(directory.findByHost('10.0.0.1:80')?.entry.id, 'new');
  t.true(changes.includes('superseded old'));
});

test('without start times, the start seen later is the one that is alive', t => {
  const {directory, readyIds, advance} = createFixture();
  directory.replaceAll([upstreamEntry({id: 'a'}), upstreamEntry({id: 'b'})]);
  t.deepEqual(readyIds(), ['a', 'b']);
  advance(1);
  directory.put([upstreamEntry({id: 'c'})]);
  t.deepEqual(readyIds(), ['c']);
  directory.remove(['c']);
  t.deepEqual(readyIds(), ['a', 'b']);
});

test('a restored copy does not restore an earlier start', t => {
  // Requests were sent to a start of an upstream that a later one had replaced.
  // The later one exited while the store was unavailable, and the copy that the
  // store was restored from listed the earlier one under the same id; it was
  // kept in case a host whose clock was set back had overwritten the later
  // one's entry.
  const {directory, changes, advance} = createFixture();
  directory.put([bornAt(1, 40)]);
  directory.put([bornAt(2, 1)]);
  directory.markSourceRestored();
  directory.replaceAll([bornAt(1, 40)]);
  advance(2001);
  t.is(directory.find('u-1'), undefined);
  advance(HEARTBEAT_MILLIS * 3);
  t.is(directory.find('u-1'), undefined);
  t.deepEqual(changes, ['joined u-1', 'restarted u-1', 'kept u-1', 'left u-1']);
});
