/**
 * Schedules that end in a second execution when one rule is missing, one for
 * each rule; the table in docs/design/at_most_once.md names them.
 */
import test from 'ava';
import {
  createZoneList,
  createZoneView,
  KEY_RULES,
} from '../../fakes/keyed_nodes.js';
import type {KeyedZone} from '../../fakes/keyed_zone.js';
import {createKeyedZone} from '../../fakes/keyed_zone.js';

/** Longer than the start of a zone and the window of keys after it. */
const SETTLED_MILLIS = 30_000;

/** Enough for a host that runs to settle after a change of the list. */
const SETTLING_MILLIS = 4_500;

/** Enough for a host that starts to take over. */
const TAKEOVER_MILLIS = 8_000;

const TRIED_KEYS_COUNT = 10_000;

const HOSTS = ['h1', 'h2', 'h3', 'h4'];
const GROWN = [...HOSTS, 'h5'];
const REDUCED = ['h2', 'h3', 'h4'];

function createSettledZone(): KeyedZone {
  const zone = createKeyedZone(HOSTS);
  zone.advance(SETTLED_MILLIS);
  return zone;
}

/** Keys whose home is one host among all, another among the hosts given. */
function* movingKeys(
  [from, to]: readonly [from: string, to: string],
  names: readonly string[],
  create: (number: number) => string = number => `za.opaque-${String(number)}`,
): Generator<string> {
  const before = createZoneView(createZoneList(1, HOSTS));
  const after = createZoneView(createZoneList(1, names));
  for (let number = 0; number < TRIED_KEYS_COUNT; number += 1) {
    const key = create(number);
    const isMoving =
      before.homeOf(key, 'desk') === from && after.homeOf(key, 'desk') === to;
    if (isMoving) yield key;
  }
}

/** A key whose homes under lists of these hosts are the ones given. */
function keyThrough(
  homes: readonly string[],
  lists: readonly (readonly string[])[],
): string {
  const views = lists.map(names => createZoneView(createZoneList(1, names)));
  const keys = Array.from(
    {length: TRIED_KEYS_COUNT},
    (_, number) => `za.opaque-${String(number)}`,
  );
  const isFound = (key: string): boolean =>
    views.every((view, index) => view.homeOf(key, 'desk') === homes[index]);
  return keys.find(isFound) ?? '';
}

function movingKey(...parameters: Parameters<typeof movingKeys>): string {
  return movingKeys(...parameters).next().value as string;
}

/** A key that proves its age and moves from the first host to the fifth. */
function movingTimedKey(zone: KeyedZone, skewMillis = 0): string {
  return movingKey(['h1', 'h5'], GROWN, () => zone.newTimedKey(skewMillis));
}

/** Publishes a list and lets the hosts named learn it. */
function publish(
  zone: KeyedZone,
  names: readonly string[],
  learners: readonly string[] = names,
): void {
  const list = zone.publish(names);
  for (const name of learners) zone.hosts.get(name)?.node?.offerList(list);
}

/** Adds the fifth host, of which the first does not hear. */
function growUnheard(zone: KeyedZone): void {
  for (const name of GROWN) zone.setCut('h1', name, true);
  zone.addHost('h5');
  publish(zone, GROWN, REDUCED);
  zone.start('h5');
}

/** Sends and executes everything that was accepted. */
function dispatchAll(zone: KeyedZone): void {
  for (const request of zone.accepted) zone.dispatch(request);
}

// Symptom: an order runs on two hosts. Sequence: a host accepts it and pauses
// before it sends it on; a new host takes the key over and gets the caller's
// repeat; the first one wakes up and sends. Cause: the new host cannot see that
// the first one has accepted the key.
test('pause before dispatch', t => {
  const zone = createSettledZone();
  const key = movingKey(['h1', 'h5'], GROWN);
  t.is(zone.request('h1', key), 'run');
  zone.pause('h1');
  growUnheard(zone);
  zone.advance(TAKEOVER_MILLIS);
  t.is(zone.request('h5', key), 'unknown');
  zone.resume('h1');
  dispatchAll(zone);
  t.is(zone.executions.length, 1);
});

// Symptom: as above. Sequence: a host pauses; a new one takes its keys over and
// executes a new order; the first one wakes up with the old list and gets the
// caller's repeat. Cause: the first one still takes itself for the home.
test('wake after takeover', t => {
  const zone = createSettledZone();
  zone.pause('h1');
  growUnheard(zone);
  zone.advance(TAKEOVER_MILLIS);
  const key = movingTimedKey(zone);
  t.is(zone.request('h5', key), 'run');
  zone.resume('h1');
  t.is(zone.request('h1', key), 'refuse');
});

// Symptom: as above. Sequence: a machine is suspended and its monotonic clock
// with it; a new host takes over and executes; the machine resumes, and by the
// monotonic clock its lease is still good. Cause: the lease is measured on a
// clock that did not count the pause.
test('wake after takeover with a monotonic clock that stood still', t => {
  const zone = createSettledZone();
  zone.suspend('h1');
  growUnheard(zone);
  zone.advance(TAKEOVER_MILLIS);
  const key = movingTimedKey(zone);
  t.is(zone.request('h5', key), 'run');
  zone.resume('h1');
  t.is(zone.request('h1', key), 'refuse');
});

// Symptom: as above. Sequence: one host holds the old list and a good lease on
// it, a new one has just had the new list confirmed by the others; a new order
// reaches both. Cause: the new host does not wait until the old lease has ended.
test('two views of the list', t => {
  const zone = createSettledZone();
  growUnheard(zone);
  zone.advance(1_000);
  t.true(zone.hosts.get('h5')?.node?.lease.isHeld());
  const key = movingTimedKey(zone);
  t.is(zone.request('h5', key), 'unknown');
  t.is(zone.request('h1', key), 'run');
});

// Symptom: as above. Sequence: a host that confirmed the new list restarts,
// gets the old list from a lagging platform and confirms that one to a host cut
// off from the others; then again, so that either side renews its lease. Cause:
// the restarted host has forgotten what it confirmed.
test('an elector restarts again and again with the old list', t => {
  const zone = createSettledZone();
  const oldList = zone.published();
  for (const left of ['h1', 'h2']) {
    for (const right of ['h4', 'h5']) zone.setCut(left, right, true);
  }
  zone.addHost('h5');
  publish(zone, GROWN, ['h3', 'h4']);
  zone.start('h5');
  const flap = (): void => {
    zone.crash('h3');
    zone.start('h3', oldList);
    for (const isLeft of [true, false]) {
      for (const left of ['h1', 'h2']) zone.setCut('h3', left, !isLeft);
      for (const right of ['h4', 'h5']) zone.setCut('h3', right, isLeft);
      zone.advance(250);
    }
  };
  for (let round = 0; round < 20; round += 1) flap();
  const key = movingTimedKey(zone, 0);
  flap();
  const decisions = ['h1', 'h5'].map(name => zone.request(name, key));
  t.deepEqual(decisions, ['refuse', 'refuse']);
});

// Symptom: as above. Sequence: a key moves to a new host, is executed there and
// moves back when that host has gone; its first home has slept through both
// lists. Cause: between two lists in which it is home, another host was.
test('a key moves away and back while its home is paused', t => {
  const zone = createSettledZone();
  zone.pause('h1');
  growUnheard(zone);
  zone.advance(TAKEOVER_MILLIS);
  const key = movingTimedKey(zone);
  t.is(zone.request('h5', key), 'run');
  dispatchAll(zone);
  zone.crash('h5');
  publish(zone, HOSTS, REDUCED);
  zone.resume('h1');
  for (const name of HOSTS) zone.setCut('h1', name, false);
  zone.advance(SETTLING_MILLIS);
  t.true(zone.hosts.get('h1')?.node?.lease.isHeld());
  t.is(zone.request('h1', key), 'unknown');
});

// Symptom: an order runs twice on one host. Sequence: it runs, the host's
// process crashes and starts again, the caller repeats. Cause: the records
// went with the process; a key is only new if it is younger than the start.
test('crash after the run, and restart', t => {
  const zone = createSettledZone();
  const key = movingKey(['h1', 'h5'], GROWN);
  const timedKey = movingTimedKey(zone);
  t.is(zone.request('h1', key), 'run');
  t.is(zone.request('h1', timedKey), 'run');
  dispatchAll(zone);
  zone.crash('h1');
  zone.start('h1');
  t.is(zone.request('h1', key), 'refuse');
  zone.advance(TAKEOVER_MILLIS);
  t.is(zone.request('h1', key), 'unknown');
  t.is(zone.request('h1', timedKey), 'unknown');
  t.is(zone.request('h1', movingTimedKey(zone)), 'run');
});

// Symptom: an order runs late although its caller has given up, or twice.
// Sequence: a host accepts it, crashes before sending and restarts; the caller
// repeats. Cause: the new process cannot tell this from a crash after the run.
test('crash before dispatch', t => {
  const zone = createSettledZone();
  const key = movingKey(['h1', 'h5'], GROWN);
  t.is(zone.request('h1', key), 'run');
  zone.crash('h1');
  zone.start('h1');
  zone.advance(TAKEOVER_MILLIS);
  t.is(zone.request('h1', key), 'unknown');
  t.is(zone.executions.length, 0);
});

// Symptom: a host cut off from its zone executes orders that others execute as
// well. Sequence: the path to the others is cut. Cause: it cannot know whether
// the list has moved its keys; the others go on with theirs.
test('a host cut off from the others', t => {
  const zone = createSettledZone();
  for (const name of HOSTS) zone.setCut('h1', name, true);
  zone.advance(KEY_RULES.leaseMillis);
  t.is(zone.request('h1', movingKey(['h1', 'h5'], GROWN)), 'refuse');
  t.is(zone.request('h2', movingKey(['h2', 'h5'], GROWN)), 'run');
});

// Symptom: an order runs in two zones. Sequence: the zones are cut off from
// each other and the caller turns to the other one. Cause: the zone takes over
// keys of a zone that it cannot reach.
test('keys of another zone', t => {
  const zone = createSettledZone();
  const decisions = HOSTS.map(name => zone.request(name, 'zb.opaque'));
  t.deepEqual(decisions, ['refuse', 'refuse', 'refuse', 'refuse']);
});

/** Stops the first host after one execution; its keys move to the second. */
function stopFirstHost(
  zone: KeyedZone,
  isLost?: (index: number) => boolean,
): {ran: string; unseen: string; isComplete: boolean} {
  const keys = movingKeys(['h1', 'h2'], REDUCED);
  const ran = keys.next().value as string;
  const unseen = keys.next().value as string;
  zone.request('h1', ran);
  dispatchAll(zone);
  return {ran, unseen, isComplete: zone.stop('h1', isLost)};
}

test('complete hand-over: answers are kept and new keys run at once', t => {
  const zone = createSettledZone();
  const {ran, unseen, isComplete} = stopFirstHost(zone);
  t.true(isComplete);
  publish(zone, REDUCED);
  zone.advance(SETTLING_MILLIS);
  t.is(zone.request('h2', ran), 'replay');
  t.is(zone.request('h2', ran, 'other body'), 'conflict');
  t.is(zone.request('h2', unseen), 'run');
});

// Symptom: an order runs again on the successor. Sequence: a call of the
// hand-over is lost; the caller repeats. Cause: the successor takes the lack of
// a record for proof that the key was not run.
test('lost hand-over', t => {
  const zone = createSettledZone();
  const {ran, unseen, isComplete} = stopFirstHost(zone, () => true);
  t.false(isComplete);
  publish(zone, REDUCED);
  zone.advance(SETTLING_MILLIS);
  t.is(zone.request('h2', ran), 'unknown');
  t.is(zone.request('h2', unseen), 'unknown');
});

// Symptom: as above. Sequence: a host crashes and starts again, stops as
// planned within the window, and the caller repeats a key of before the crash.
// Cause: the records handed over do not cover the earlier process.
test('hand-over by a host that does not know all of its keys', t => {
  const zone = createSettledZone();
  zone.crash('h1');
  zone.start('h1');
  zone.advance(TAKEOVER_MILLIS);
  const {unseen, isComplete} = stopFirstHost(zone);
  t.false(isComplete);
  publish(zone, REDUCED);
  zone.advance(SETTLING_MILLIS);
  t.is(zone.request('h2', unseen), 'unknown');
});

// Symptom: as above. Sequence: the successor restarts between two calls of a
// hand-over; the last call arrives and says that the hand-over is complete.
// Cause: the records of the first call went with the former process.
test('the successor restarts during a hand-over', t => {
  const zone = createSettledZone();
  const keys = movingKeys(['h1', 'h2'], REDUCED);
  const ran = Array.from({length: 70}, () => keys.next().value as string);
  for (const key of ran) zone.request('h1', key);
  dispatchAll(zone);
  const [first] = ran;
  let callsToSuccessorCount = 0;
  zone.stop('h1', (_index, successor) => {
    if (successor !== 'h2') return false;
    callsToSuccessorCount += 1;
    if (callsToSuccessorCount === 2) {
      zone.crash('h2');
      zone.start('h2');
    }
    return false;
  });
  t.is(callsToSuccessorCount, 2);
  zone.advance(5_000);
  publish(zone, REDUCED);
  zone.advance(SETTLING_MILLIS);
  t.true(zone.hosts.get('h2')?.node?.lease.isHeld());
  t.is(zone.request('h2', first ?? ''), 'unknown');
});

// Symptom: as above. Sequence: a host hands over and stops, starts again before
// the list has dropped it, executes a new order and crashes. Cause: the records
// handed over are of the process before.
test('a host starts again after its hand-over', t => {
  const zone = createSettledZone();
  t.true(zone.stop('h1'));
  zone.start('h1');
  zone.advance(5_000);
  const key = movingKey(['h1', 'h2'], REDUCED, () => zone.newTimedKey());
  t.is(zone.request('h1', key), 'run');
  dispatchAll(zone);
  zone.crash('h1');
  publish(zone, REDUCED);
  zone.advance(SETTLING_MILLIS);
  t.true(zone.hosts.get('h2')?.node?.lease.isHeld());
  t.is(zone.request('h2', key), 'unknown');
});

// Symptom: as above. Sequence: a host executes a key and crashes; the list drops
// it, and by that list a second host is home of the key; this one has not heard
// of it, stops as planned and hands over all it knows. Cause: what it knows is
// complete for an older placement of keys than the one its successor goes by.
test('hand-over by a host with an older list than its successor', t => {
  const zone = createSettledZone();
  const key = keyThrough(['h1', 'h2', 'h3'], [HOSTS, REDUCED, ['h3', 'h4']]);
  t.is(zone.request('h1', key), 'run');
  dispatchAll(zone);
  zone.crash('h1');
  for (const name of ['h3', 'h4']) zone.setCut('h2', name, true);
  publish(zone, REDUCED, ['h3', 'h4']);
  zone.advance(500);
  for (const name of ['h3', 'h4']) zone.setCut('h2', name, false);
  zone.stop('h2');
  publish(zone, ['h3', 'h4']);
  zone.advance(SETTLING_MILLIS);
  t.true(zone.hosts.get('h3')?.node?.lease.isHeld());
  t.is(zone.request('h3', key), 'unknown');
});

// Symptom: keyed work runs on a wrong wall clock, and keys pass for younger
// than they are. Sequence: the wall clock is stepped by more than the bound.
// Cause: ages of keys are compared on wall clocks.
test('jump of the wall clock', t => {
  const zone = createSettledZone();
  const key = movingKey(['h1', 'h5'], GROWN);
  zone.hosts.get('h1')?.clock.stepWall(KEY_RULES.clockBoundMillis + 1);
  t.is(zone.request('h1', key), 'refuse');
  zone.advance(500);
  t.is(zone.request('h1', key), 'unknown');
});

// Symptom: an order runs on two hosts. Sequence: a key stamped ahead of time is
// executed; a new host takes over, and the stamp is later than the takeover.
// Cause: the stamp is taken for the time of creation.
test('key stamped ahead of time', t => {
  const zone = createSettledZone();
  const {clockBoundMillis} = KEY_RULES;
  t.is(zone.request('h1', movingTimedKey(zone, clockBoundMillis)), 'run');
  t.is(
    zone.request('h1', movingTimedKey(zone, clockBoundMillis + 1)),
    'refuse',
  );
});

// Symptom: an order runs again after a long time. Sequence: it runs, its record
// is forgotten when the window has passed, the caller repeats. Cause: without a
// record a repeat looks new; a key that shows its age is refused instead.
test('repeat after the window', t => {
  const zone = createSettledZone();
  const key = movingTimedKey(zone);
  t.is(zone.request('h1', key), 'run');
  dispatchAll(zone);
  zone.advance(KEY_RULES.windowMillis - 500);
  t.is(zone.request('h1', key), 'replay');
  zone.advance(1_000);
  t.is(zone.request('h1', key), 'unknown');
  t.is(zone.hosts.get('h1')?.node?.kept.count, 0);
});
