import test from 'ava';
import type {CrashFields} from '../../../../src/protocol/crash_messages.js';
import type {
  CrashEvidence,
  CrashSuspect,
} from '../../../../src/process/quarantine/crash_evidence.js';
import {
  createCrashEvidence,
  MAX_CRASH_FINGERPRINT_PAIRS_COUNT,
  RETENTION_MILLIS,
} from '../../../../src/process/quarantine/crash_evidence.js';

function createFixture() {
  let now = 0;
  const quarantined: CrashSuspect[] = [];
  const released: string[] = [];
  const evidence = createCrashEvidence({
    nowMillis: () => now,
    onQuarantined: suspect => quarantined.push(suspect),
    onReleased: fingerprint => released.push(fingerprint),
  });
  return {
    evidence,
    quarantined,
    released,
    advance: (millis: number) => {
      now += millis;
    },
  };
}

function crash(index: number, ...fingerprints: string[]): CrashFields {
  return {
    crashId: `c${String(index)}`,
    upstreamId: `u-${String(index)}`,
    ageMillis: 0,
    fingerprints,
    clearedFingerprints: [],
  };
}

function allOf(evidence: CrashEvidence): readonly CrashFields[] {
  return evidence.summaries().map(({crashId}) => evidence.find(crashId)!);
}

test('only the request that is in progress during three crashes is quarantined', t => {
  const {evidence, quarantined} = createFixture();
  t.is(evidence.add([crash(1, 'culprit', 'a', 'b')]).length, 1);
  t.is(evidence.add([crash(2, 'culprit', 'a', 'c')]).length, 1);
  t.deepEqual(quarantined, []);
  t.is(evidence.add([crash(3, 'culprit', 'd')]).length, 1);
  t.deepEqual(
    quarantined.map(({fingerprint}) => fingerprint),
    ['culprit'],
  );
  t.deepEqual(
    quarantined[0]!.crashes.map(({upstreamId}) => upstreamId),
    ['u-1', 'u-2', 'u-3'],
  );
  t.is(evidence.crashesCount(['a', 'b']), 2);
  t.true(evidence.isQuarantined(['x', 'culprit']));
  t.false(evidence.isQuarantined(['a', 'b', 'c', 'd']));
});

test('a crash that is reported again counts once', t => {
  const {evidence} = createFixture();
  for (let index = 0; index < 5; index += 1) evidence.add([crash(1, 'a')]);
  t.is(evidence.crashesCount(['a']), 1);
  t.deepEqual(evidence.add([crash(1, 'a')]), []);
});

test('an answered request is cleared of all earlier crashes, not of later ones', t => {
  const {evidence, released} = createFixture();
  evidence.add([crash(1, 'a'), crash(2, 'a'), crash(3, 'a')]);
  t.true(evidence.clear(['a']));
  t.deepEqual(released, ['a']);
  t.true(evidence.isEmpty);
  // A node that has not received the clearance reports the crashes again.
  t.deepEqual(evidence.add([crash(1, 'a'), crash(2, 'a')]), []);
  t.is(evidence.crashesCount(['a']), 0);
  evidence.add([crash(4, 'a')]);
  t.is(evidence.crashesCount(['a']), 1);
});

test('evidence does not depend on the order and repetition of reports', t => {
  const first = createFixture().evidence;
  const second = createFixture().evidence;
  const third = createFixture().evidence;
  first.add([crash(1, 'a', 'b'), crash(2, 'a')]);
  first.clear(['b']);
  second.add([crash(2, 'a')]);
  second.add(allOf(first));
  third.add([crash(1, 'b', 'a')]);
  third.clear(['b']);
  third.add([crash(2, 'a')]);
  third.add(allOf(second));
  t.is(second.digest, first.digest);
  t.is(third.digest, first.digest);
  t.is(third.crashesCount(['a']), 2);
});

test('crashes expire by their age at the node that saw them', t => {
  const {evidence, released, advance} = createFixture();
  const old = {...crash(1, 'a'), ageMillis: RETENTION_MILLIS - 10};
  evidence.add([old, crash(2, 'a'), crash(3, 'a')]);
  t.true(evidence.isQuarantined(['a']));
  advance(10);
  evidence.expire();
  t.is(evidence.crashesCount(['a']), 2);
  t.deepEqual(released, ['a']);
  t.deepEqual(evidence.add([{...old, ageMillis: RETENTION_MILLIS}]), []);
  advance(RETENTION_MILLIS);
  evidence.expire();
  t.true(evidence.isEmpty);
  t.is(evidence.digest, createFixture().evidence.digest);
});

test('evidence of a flood of crashing requests is bounded and releases no quarantined request', t => {
  const {evidence, released, advance} = createFixture();
  evidence.add([crash(1, 'culprit'), crash(2, 'culprit'), crash(3, 'culprit')]);
  const perCrashCount = 100;
  const floodCount = (2 * MAX_CRASH_FINGERPRINT_PAIRS_COUNT) / perCrashCount;
  for (let index = 0; index < floodCount; index += 1) {
    advance(1);
    const fingerprints = Array.from(
      {length: perCrashCount},
      (_, at) => `f${String(index)}-${String(at)}`,
    );
    evidence.add([crash(10 + index, ...fingerprints)]);
  }
  t.true(evidence.isQuarantined(['culprit']));
  t.deepEqual(released, []);
  t.true(evidence.suspects().length <= MAX_CRASH_FINGERPRINT_PAIRS_COUNT);
});
