import test from 'ava';
import {createUpstreamDirectory} from '../../../../src/process/membership/upstream_directory.js';
import {upstreamEntry} from '../../../fakes/route_documents.js';

const HEARTBEAT_MILLIS = 1000;

function createFixture() {
  let now = 0;
  let named = new Set(['orders', 'atlas']);
  const changes: string[] = [];
  const directory = createUpstreamDirectory({
    nowMillis: () => now,
    heartbeatMillis: HEARTBEAT_MILLIS,
    isServiceConfigured: service => named.has(service),
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
    name: (...services: readonly string[]) => {
      named = new Set(services);
      directory.reindex();
    },
  };
}

function bornAt(bornMillis: number, sequenceNumber: number, fields = {}) {
  return upstreamEntry({bornMillis, sequenceNumber, ...fields});
}

test('a later start under an id begins cold and seen anew', t => {
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

test('an upstream that starts again does not drain as the start before', t => {
  const {directory, changes, readyIds} = createFixture();
  directory.put([bornAt(1, 40, {isDraining: true})]);
  directory.put([bornAt(2, 1)]);
  t.deepEqual(readyIds(), ['u-1']);
  directory.put([bornAt(2, 2, {isDraining: true})]);
  t.deepEqual(readyIds(), []);
  t.deepEqual(changes, ['joined u-1', 'restarted u-1', 'draining u-1']);
});

test('what one start has told is not taken back by what it told before', t => {
  // Symptom: an upstream that drains gets a request. Sequence: two of its entries
  // reach the store in the wrong order. Cause: the later write counted.
  const {directory, readyIds} = createFixture();
  directory.put([bornAt(1, 8, {isDraining: true})]);
  directory.put([bornAt(1, 7)]);
  t.deepEqual(readyIds(), []);
});

test('without births a count that begins anew is taken as it comes', t => {
  const {directory, readyIds} = createFixture();
  directory.put([upstreamEntry({sequenceNumber: 40})]);
  directory.put([upstreamEntry({sequenceNumber: 1, isDraining: true})]);
  t.deepEqual(readyIds(), []);
});

test('an earlier start counts only if the later one stays silent', t => {
  // A clock that was set back would otherwise keep an upstream out for good.
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

test('an overwritten entry ends its upstream after three heartbeats', t => {
  const {directory, readyIds, advance} = createFixture();
  directory.put([bornAt(1, 1)]);
  for (let beat = 1; beat <= 3; beat += 1) {
    directory.markContested(['u-1', 'u-9']);
    t.deepEqual(readyIds(), ['u-1']);
    advance(HEARTBEAT_MILLIS);
  }
  t.deepEqual(readyIds(), []);
  t.true(directory.hasLeft('u-1'));
  t.is(directory.count(), 0);
});

test('an overwritten entry is not one that is missing, and a removal holds', t => {
  const {directory, readyIds} = createFixture();
  directory.put([bornAt(1, 1)]);
  directory.replaceAll([], ['u-1']);
  t.deepEqual(readyIds(), ['u-1']);
  directory.remove(['u-1']);
  t.deepEqual(readyIds(), []);
});

test('an entry that changes to an unnamed service is not its own', t => {
  const {directory, readyIds} = createFixture();
  directory.put([bornAt(1, 1)]);
  directory.put([bornAt(1, 2, {service: 'nobody-s'})]);
  t.deepEqual(readyIds(), ['u-1']);
});

test('an upstream of an unnamed service waits and takes no host', t => {
  const {directory, changes, readyIds, name} = createFixture();
  directory.put([bornAt(1, 1)]);
  directory.put([bornAt(2, 1, {id: 'x-1', service: 'later'})]);
  t.deepEqual(readyIds(), ['u-1']);
  t.is(directory.findByHost('10.0.0.1:80')?.entry.id, 'u-1');
  t.deepEqual(changes, ['joined u-1', 'joined x-1', 'unnamed x-1']);
  name('orders', 'later');
  t.is(directory.listReady('later').length, 1);
});

test('of two entries at one host only the later start gets work', t => {
  // Symptom: requests that follow the start of a node fail by the hundred.
  // Sequence: upstreams end with their hosts, others start there, and a node that
  // starts reads the entries of both; those of the ended ones stay for three
  // heartbeats. Cause: both counted as ready, and each choice of an ended one
  // cost an attempt. Births tell which one is alive.
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

test('without births the start seen later is the one that is alive', t => {
  const {directory, readyIds, advance} = createFixture();
  directory.replaceAll([upstreamEntry({id: 'a'}), upstreamEntry({id: 'b'})]);
  t.deepEqual(readyIds(), ['a', 'b']);
  advance(1);
  directory.put([upstreamEntry({id: 'c'})]);
  t.deepEqual(readyIds(), ['c']);
  directory.remove(['c']);
  t.deepEqual(readyIds(), ['a', 'b']);
});

test('a restored copy does not bring an earlier start back', t => {
  // Requests were sent to a start of an upstream that a later one had replaced. The
  // later one ended while the store was away, and the copy that it came back from
  // listed the earlier one under the same id; it was kept for the case that the
  // later one's entry had been overwritten by a host whose clock was set back.
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
