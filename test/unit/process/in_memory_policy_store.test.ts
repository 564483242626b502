/**
 * Acceptance, activation and retention of policy versions.
 */
import test from 'ava';
import {toDisposable} from '../../../src/base/lifecycle.js';
import {
  KEPT_VERSIONS_COUNT,
  POLICY_METRIC,
  createPolicyStore,
} from '../../../src/process/in_memory_policy_store.js';
import {createStateDump} from '../../../src/process/state_dump.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';
import {createPolicyBytes} from '../../fakes/policy_documents.js';

interface PendingTimer {
  readonly delayMillis: number;
  readonly onElapsed: () => void;
}

/** A store on a manual clock; `timers` holds what waits to be fired. */
function setUp() {
  const time = createManualTimeSource();
  const metrics = createCountingMetrics();
  const stateDump = createStateDump();
  const timers = new Set<PendingTimer>();
  const store = createPolicyStore({
    time,
    metrics,
    stateDump,
    scheduleActivation: (delayMillis, onElapsed) => {
      const timer = {delayMillis, onElapsed};
      timers.add(timer);
      return toDisposable(() => timers.delete(timer));
    },
  });
  const activated: number[] = [];
  store.onDidActivate(({version}) => activated.push(version));
  const offer = (version: number, activationMillis = 1_000) =>
    store.offer(
      createPolicyBytes(version, draft => {
        draft.timing.activationMillis = activationMillis;
      }),
      'platform',
    ).kind;
  const fireTimers = () => {
    for (const {onElapsed} of [...timers]) onElapsed();
  };
  return {
    time,
    metrics,
    stateDump,
    store,
    timers,
    activated,
    offer,
    fireTimers,
  };
}

test('the first version is in force at once, the next after its delay', t => {
  const {time, store, offer} = setUp();
  t.is(store.inForce(), undefined);
  offer(1);
  t.is(store.inForce()?.version, 1);
  offer(2);
  t.is(store.newest()?.version, 2);
  time.advance(999);
  t.is(store.inForce()?.version, 1);
  time.advance(1);
  t.is(store.inForce()?.version, 2);
});

test('a step of the wall clock does not move activation', t => {
  const {time, store, offer} = setUp();
  offer(1);
  offer(2);
  time.stepWall(3_600_000);
  t.is(store.inForce()?.version, 1);
});

test('activation is announced once, by the timer or by a look-up', t => {
  const {time, store, timers, activated, offer, fireTimers} = setUp();
  offer(1);
  offer(2);
  t.deepEqual(
    [...timers].map(({delayMillis}) => delayMillis),
    [1_000],
  );
  time.advance(999.5);
  fireTimers();
  t.deepEqual(activated, [1]);
  t.is(timers.size, 1, 'a timer that fired early is armed again');
  time.advance(0.5);
  fireTimers();
  store.inForce();
  t.deepEqual(activated, [1, 2]);
  t.is(timers.size, 0);
});

// Symptom: a host serves new requests under an old version after a pause.
// Sequence: a version is accepted, the process is paused beyond the activation
// time, requests that arrived meanwhile are read before the late timer runs.
// Cause: activation depended on the timer alone.
test('after a pause the look-up activates before the late timer', t => {
  const {time, store, activated, offer} = setUp();
  offer(1);
  offer(2);
  time.advance(60_000);
  t.is(store.inForce()?.version, 2);
  t.deepEqual(activated, [1, 2]);
});

test('a version that is due earlier makes older waiting ones lapse', t => {
  const {time, store, activated, offer} = setUp();
  offer(1);
  offer(2, 4_000);
  offer(3, 500);
  time.advance(500);
  t.is(store.inForce()?.version, 3);
  time.advance(10_000);
  t.is(store.inForce()?.version, 3);
  t.deepEqual(activated, [1, 3]);
});

// Symptom: a new version is never in force while changes keep coming.
// Sequence: versions arrive faster than they activate until the list of waiting
// ones is full, and each new one displaces the oldest.
// Cause: the one displaced was always the next to activate.
test('a stream of versions does not put off activation', t => {
  const {time, metrics, store, offer} = setUp();
  offer(1);
  for (let version = 2; version <= 41; version += 1) {
    offer(version);
    time.advance(30);
  }
  t.true((store.inForce()?.version ?? 0) > 1);
  t.true(metrics.countOf(POLICY_METRIC.skipped) > 0);
  time.advance(1_000);
  t.is(store.inForce()?.version, 41);
});

test('recent versions and the one in force stay known', t => {
  const {time, store, offer} = setUp();
  for (let version = 1; version <= 40; version += 1) offer(version);
  t.is(store.inForce()?.version, 1);
  t.is(store.byVersion(1)?.version, 1);
  time.advance(1_000);
  t.is(store.byVersion(40)?.version, 40);
  t.is(store.byVersion(1), undefined);
  const known = Array.from({length: 40}, (_, i) => store.byVersion(i + 1));
  t.is(known.filter(Boolean).length, KEPT_VERSIONS_COUNT);
});

test('results are counted and the last refusal is in the state dump', t => {
  const {metrics, stateDump, store, offer} = setUp();
  t.is(offer(5), 'accepted');
  t.is(offer(5), 'already-held');
  t.is(offer(4), 'older');
  t.is(offer(5, 2_000), 'digest-conflict');
  t.is(metrics.countOf(POLICY_METRIC.offers), 4);
  t.deepEqual(stateDump.collect()['policy'], {
    newestVersion: 5,
    newestDigest: store.newest()?.digest,
    inForceVersion: 5,
    waitingVersions: [],
    keptVersions: [5],
    lastRefusal: {source: 'platform', kind: 'digest-conflict', version: 5},
  });
});

test('disposal leaves no timer, listener or section', t => {
  const {stateDump, store, timers, activated, offer, time} = setUp();
  offer(1);
  offer(2);
  store.dispose();
  t.is(timers.size, 0);
  t.deepEqual(stateDump.collect(), {});
  time.advance(1_000);
  store.inForce();
  t.deepEqual(activated, [1]);
});
