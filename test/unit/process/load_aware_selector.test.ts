import test from 'ava';
import type {HostLoad} from '../../../src/process/admission_controller.js';
import type {KnownHost} from '../../../src/process/fleet_view.js';
import type {
  AttemptVerdict,
  Selection,
} from '../../../src/process/host_selector.js';
import {createHostSelector} from '../../../src/process/load_aware_selector.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';
import {createKnownHost, createListedFleet} from '../../fakes/listed_fleet.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';
import {createSeededRandom} from '../../fakes/simulated_upstream.js';

const IDLE: HostLoad = {
  inFlightCount: 0,
  queuedCount: 0,
  limitCount: 10,
  refusedFromClassIndex: 3,
};

const EJECTION = {
  consecutiveFailuresCount: 3,
  ejectionMillis: 1_000,
  floorRatio: 0.5,
};

const TIMING = {
  activationMillis: 1_000,
  slowStartMillis: 10_000,
  drainMillis: 1_000,
  retryAfterMinimumMillis: 100,
  retryAfterMaximumMillis: 1_000,
};

/** Three hosts in the own zone, one in the own region, one beyond. */
const HOSTS = [
  createKnownHost('a1'),
  createKnownHost('a2'),
  createKnownHost('a3'),
  createKnownHost('b1', {availabilityZone: 'z2'}),
  createKnownHost('c1', {availabilityZone: 'z3', region: 'r2'}),
];

function createFixture(hosts: readonly KnownHost[] = HOSTS, hostName = 'x') {
  const time = createManualTimeSource();
  const fleet = createListedFleet(hosts);
  const selector = createHostSelector({
    fleet,
    ownZone: 'z1',
    ownRegion: 'r1',
    hostName,
    time,
    random: createSeededRandom(1),
    metrics: createCountingMetrics(),
  });
  selector.configure(EJECTION, TIMING);

  function select(classIndex = 0, tried: readonly string[] = []): Selection {
    const triedHostNames = new Set(tried);
    return selector.select({
      service: 'atlas',
      classIndex,
      isStarted: false,
      triedHostNames,
    });
  }

  function selectName(classIndex = 0, tried: readonly string[] = []): string {
    const selection = select(classIndex, tried);
    return selection.kind === 'selected'
      ? selection.host.host.name
      : selection.kind;
  }

  function finish(
    hostName: string,
    verdict: AttemptVerdict,
    load: HostLoad | undefined = IDLE,
    classIndex = 0,
  ): void {
    selector.recordStart(hostName);
    selector.recordEnd({hostName, classIndex, verdict, load});
  }

  /** Names and how often each is selected; the calls end at once. */
  function tally(count: number, classIndex = 0): Record<string, number> {
    const counts: Record<string, number> = {};
    for (let index = 0; index < count; index += 1) {
      const name = selectName(classIndex);
      counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
  }
  return {time, fleet, selector, select, selectName, finish, tally};
}

/** A host that started `ageMillis` before the manual clock's start. */
function startedHost(name: string, ageMillis: number): KnownHost {
  const known = createKnownHost(name);
  const incarnationMillis = 1_700_000_000_000 - ageMillis;
  return {
    ...known,
    status: {hostName: name, incarnationMillis, sequence: 1, phase: 'serving'},
  };
}

test('calls stay in the own zone and spread over its hosts', t => {
  const counts = createFixture().tally(3_000);
  t.deepEqual(Object.keys(counts).sort(), ['a1', 'a2', 'a3']);
  t.true(Object.values(counts).every(count => count > 800));
});

test('the less loaded of two hosts is chosen, own calls included', t => {
  const {selector, finish, tally} = createFixture(HOSTS.slice(0, 2));
  finish('a1', 'success', {...IDLE, inFlightCount: 5});
  finish('a2', 'success', {...IDLE, inFlightCount: 2, queuedCount: 1});
  t.deepEqual(tally(20), {a2: 20});
  for (let count = 0; count < 3; count += 1) selector.recordStart('a2');
  t.deepEqual(tally(20), {a1: 20});
});

test('a busy report fades, so that the host is tried again', t => {
  // Symptom: a host idles after a peak. Its last report says full, so every
  // call goes elsewhere. Cause: only a call could bring a newer report.
  const {time, finish, tally} = createFixture(HOSTS.slice(0, 2));
  finish('a1', 'success', {...IDLE, inFlightCount: 10});
  t.is(tally(20)['a1'], undefined);
  time.advance(1_000);
  t.true((tally(100)['a1'] ?? 0) > 20);
});

test('the own host wins at equal load', t => {
  const {finish, tally} = createFixture(HOSTS, 'a2');
  t.deepEqual(tally(20), {a2: 20});
  finish('a2', 'success', {...IDLE, inFlightCount: 5});
  t.is(tally(20)['a2'], undefined);
});

test('a tried host is never selected again', t => {
  const {selectName} = createFixture();
  const tried: string[] = [];
  for (let count = 0; count < 5; count += 1) tried.push(selectName(0, tried));
  t.deepEqual([...tried].sort(), ['a1', 'a2', 'a3', 'b1', 'c1']);
  t.deepEqual(tried.slice(3), ['b1', 'c1'], 'nearest first');
  t.is(selectName(0, tried), 'no-host');
});

test('hosts that take no new work are left out', t => {
  const gone = HOSTS.slice(0, 3).map(known => ({
    ...known,
    acceptsNewWork: false,
  }));
  const {selectName} = createFixture([...gone, ...HOSTS.slice(3)]);
  t.is(selectName(), 'b1');
});

test('a host that drains by its report gets no work before its announcement', t => {
  // Symptom: a leaving host refuses calls one after the other, each of which
  // spends a retry. Its answers say that it drains. Cause: only the published
  // list and announcements are looked at, and both lag.
  const {finish, tally} = createFixture();
  finish('a1', 'refused', {...IDLE, refusedFromClassIndex: 0});
  t.is(tally(100)['a1'], undefined);
});

test('a cold host gets a small share that grows', t => {
  // Symptom: a host that has just started is slow and fails again and again.
  // It reports no load, so every pair it is in prefers it. Cause: caches and
  // connections are still cold.
  const hosts = [startedHost('a1', 0), startedHost('a2', 60_000)];
  const {time, tally} = createFixture(hosts, 'a1');
  const counts = [0, 5_000, 5_000].map(millis => {
    time.advance(millis);
    return tally(1_000)['a1'] ?? 0;
  });
  t.log(`of 1000 after 0, 5 and 10 s: ${counts.join(', ')}`);
  const [cold, half, warm] = counts as [number, number, number];
  t.true(cold < 150 && half > 250 && half < 450);
  t.is(warm, 1_000, 'now it is the own host that wins at equal load');
});

test('a host that refuses the class is avoided, for that class', t => {
  const {finish, tally} = createFixture();
  finish('a1', 'refused', {...IDLE, refusedFromClassIndex: 1});
  t.is(tally(100, 1)['a1'], undefined);
  t.true((tally(100, 0)['a1'] ?? 0) > 0);
});

test('all-refuse needs a fresh refusal of every usable host', t => {
  const {time, finish, select, selectName} = createFixture();
  const refusing = {...IDLE, refusedFromClassIndex: 1};
  finish('a1', 'refused', refusing);
  finish('a2', 'refused', refusing);
  t.is(selectName(1, ['a1']), 'a3');
  finish('a3', 'refused', refusing);
  const selection = select(1, ['a1']);
  t.is(selection.kind, 'all-refuse');
  if (selection.kind !== 'all-refuse') return;
  t.true(selection.retryAfterMillis >= 100);
  t.true(selection.retryAfterMillis <= 1_000);
  t.is(select(0).kind, 'selected', 'the first class is not refused');
  time.advance(1_000);
  const names = [1, 2, 3, 4].map(() => selectName(1, ['b1']));
  t.deepEqual(names.slice(0, 3).sort(), ['a1', 'a2', 'a3'], 'one probe each');
  t.is(names[3], 'all-refuse');
});

test('a refused class still gets what capacity is left', t => {
  // Symptom: goodput falls in waves under a surge. Every report says refused,
  // callers' nodes refuse all calls for the life of the report, the hosts run
  // empty. Cause: a report stands for much longer than the state it tells of.
  const {time, selector, finish, select} = createFixture();
  const refusing = {...IDLE, refusedFromClassIndex: 1};
  for (const name of ['a1', 'a2', 'a3']) finish(name, 'refused', refusing, 1);
  const demandCount = 4_000;
  const capacityPerMilli = 0.1;
  let servedCount = 0;
  let sentCount = 0;
  for (let index = 0; index < demandCount; index += 1) {
    time.advance(1);
    const selection = select(1);
    if (selection.kind !== 'selected') continue;
    sentCount += 1;
    const hostName = selection.host.host.name;
    const isServed = servedCount < (index + 1) * capacityPerMilli;
    if (isServed) servedCount += 1;
    selector.recordStart(hostName);
    selector.recordEnd({
      hostName,
      classIndex: 1,
      verdict: isServed ? 'success' : 'refused',
      load: refusing,
    });
  }
  t.log(`sent ${sentCount}, served ${servedCount} of 400 possible`);
  t.true(servedCount >= 380);
  t.true(sentCount <= 1_000);
});

test('a failing host is ejected, then tried by one call at a time', t => {
  // Symptom: each time an ejection ends, a burst of calls fails. The host has
  // not recovered. Cause: it gets its full share back at once.
  const {time, selector, finish, tally, selectName} = createFixture();
  for (let count = 0; count < 3; count += 1) finish('a1', 'failed', undefined);
  t.is(tally(100)['a1'], undefined);
  t.deepEqual(
    selector
      .states()
      .filter(state => state.isEjected)
      .map(s => s.hostName),
    ['a1'],
  );
  time.advance(1_000);
  t.is(selectName(0, ['a2', 'a3']), 'a1');
  selector.recordStart('a1');
  t.is(tally(100)['a1'], undefined, 'one call is out');
  selector.recordEnd({
    hostName: 'a1',
    classIndex: 0,
    verdict: 'failed',
    load: undefined,
  });
  time.advance(1_500);
  t.is(tally(100)['a1'], undefined, 'the second ejection is longer');
  time.advance(500);
  finish('a1', 'success');
  t.true((tally(100)['a1'] ?? 0) > 0);
});

test('a silent host is ejected sooner than a failing one', t => {
  const {finish, tally} = createFixture();
  finish('a1', 'failed', undefined);
  t.true((tally(100)['a1'] ?? 0) > 0);
  finish('a2', 'silent', undefined);
  t.is(tally(100)['a2'], undefined);
});

test('a success between failures prevents ejection', t => {
  const {finish, tally} = createFixture();
  for (let count = 0; count < 10; count += 1) {
    finish('a1', 'failed', undefined);
    finish('a1', 'failed', undefined);
    finish('a1', 'success');
  }
  t.true((tally(100)['a1'] ?? 0) > 0);
});

test('another zone takes over when the own one is out, down to the floor', t => {
  // Symptom: the last hosts of a service are overrun. All fail because of what
  // is asked of them, one after the other is ejected. Cause: ejection without
  // a floor.
  const {finish, selectName, tally} = createFixture();
  for (const name of ['a1', 'a2']) finish(name, 'silent', undefined);
  t.deepEqual(tally(20), {a3: 20});
  finish('a3', 'silent', undefined);
  t.is(selectName(), 'a1', 'three of five stay');
});

test('a dead zone is left for the nearest one that works', t => {
  const elsewhere = ['b2', 'b3', 'b4'].map(name =>
    createKnownHost(name, {availabilityZone: 'z2'}),
  );
  const {finish, tally} = createFixture([...HOSTS, ...elsewhere]);
  for (const name of ['a1', 'a2', 'a3']) finish(name, 'silent', undefined);
  t.deepEqual(Object.keys(tally(200)).sort(), ['b1', 'b2', 'b3', 'b4']);
});

test('hosts that left the list are forgotten', t => {
  // Symptom: memory of a node grows for weeks. Hosts are replaced daily under
  // new names. Cause: records of hosts that are gone are kept.
  const {fleet, selector, finish, selectName} = createFixture();
  for (const name of ['a1', 'a2', 'a3']) finish(name, 'success');
  fleet.publish([createKnownHost('d1')]);
  t.is(selectName(), 'd1');
  t.deepEqual(
    selector.states().map(state => state.hostName),
    ['d1'],
  );
});
