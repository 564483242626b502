import type {Readable} from 'node:stream';
import {PassThrough} from 'node:stream';
import test from 'ava';
import {createCancelSource} from '../../../src/base/cancel_signal.js';
import type {UpstreamResult} from '../../../src/connection/upstream_result.js';
import {computeFingerprints} from '../../../src/connection/request_fingerprint.js';
import {createCrashEvidence} from '../../../src/process/quarantine/crash_evidence.js';
import type {QuarantineRequest} from '../../../src/request/crash_quarantine.js';
import {createCrashQuarantine} from '../../../src/request/crash_quarantine.js';

const PAUSE_MILLIS = 3000;

function requestTo(target: string, callerService = 'shop'): QuarantineRequest {
  return {
    attemptId: target,
    callerService,
    method: 'GET',
    target,
    headers: ['host', 'shop.example'],
    body: Buffer.alloc(0),
  };
}

function answered(statusCode: number, bodyRest?: Readable): UpstreamResult {
  const answer = {
    statusCode,
    headers: [],
    isUnframed: false,
    bodyStart: Buffer.alloc(0),
    bodyRest,
  };
  return {kind: 'answered', answer};
}

function createFixture() {
  let now = 0;
  let crashesCount = 0;
  const evidence = createCrashEvidence({
    nowMillis: () => now,
    onQuarantined: () => undefined,
    onReleased: () => undefined,
  });
  const refusals: string[] = [];
  const cleared: string[] = [];
  const quarantine = createCrashQuarantine({
    evidence,
    onRefused: ({attemptId}, _fingerprints, reason) => {
      refusals.push(`${attemptId} ${reason}`);
    },
    onCleared: ({attemptId}) => cleared.push(attemptId),
  });
  const wait = {waitMillis: 60_000, cancel: createCancelSource().signal};
  return {
    quarantine,
    refusals,
    cleared,
    admit: (request: QuarantineRequest) => quarantine.admit(request, wait),
    crash: (...requests: QuarantineRequest[]) => {
      crashesCount += 1;
      evidence.add([
        {
          crashId: `c${String(crashesCount)}`,
          upstreamId: 'u-1',
          ageMillis: 0,
          fingerprints: requests.flatMap(request =>
            Object.values(computeFingerprints(request)),
          ),
          clearedFingerprints: [],
        },
      ]);
    },
    advance: (millis: number) => {
      now += millis;
    },
  };
}

test('a request is refused after three crashes, whichever service sends it', t => {
  const {quarantine, admit, crash, refusals} = createFixture();
  const culprit = requestTo('/culprit');
  for (let index = 0; index < 3; index += 1) crash(culprit);
  t.true(quarantine.holds(requestTo('/culprit')));
  t.true(quarantine.holds(requestTo('/culprit', 'desk')));
  t.is(admit(requestTo('/culprit')), 'quarantined');
  t.false(quarantine.holds(requestTo('/other')));
  t.is(admit(requestTo('/other')), undefined);
  t.is(refusals.length, 3);
});

test('a response to one caller does not clear the same request of another caller', t => {
  const {quarantine, crash} = createFixture();
  const culprit = requestTo('/culprit');
  for (let index = 0; index < 3; index += 1) crash(culprit);
  const fromDesk = requestTo('/culprit', 'desk');
  quarantine.end(fromDesk, answered(200));
  t.false(quarantine.holds(fromDesk));
  t.true(quarantine.holds(culprit));
});

test('suspects of one crash are not isolated, those of two run alone and after a pause', async t => {
  const {admit, quarantine, crash, advance} = createFixture();
  const once = ['/1', '/2', '/3', '/4', '/5'].map(path => requestTo(path));
  const twice = ['/6', '/7'].map(path => requestTo(path));
  crash(...once, ...twice);
  crash(...twice);
  for (const request of once) t.is(admit(request), undefined);

  t.is(admit(twice[0]!), 'isolated');
  advance(PAUSE_MILLIS);
  t.is(admit(twice[0]!), undefined);
  const waiting = admit(twice[1]!);
  t.true(waiting instanceof Promise);
  // The first request crashed an upstream while it was running alone.
  crash(twice[0]!);
  quarantine.end(twice[0]!);
  t.is(await waiting, undefined);
  t.true(quarantine.holds(twice[0]!));
  t.false(quarantine.holds(twice[1]!));
});

test('a request waiting for its turn is refused if it is quarantined meanwhile', async t => {
  const {admit, quarantine, crash, advance} = createFixture();
  const first = requestTo('/1');
  const second = requestTo('/2');
  crash(first, second);
  crash(first, second);
  advance(PAUSE_MILLIS);
  t.is(admit(first), undefined);
  const waiting = admit(second);
  crash(second);
  quarantine.end(first, answered(200));
  t.is(await waiting, 'quarantined');
  advance(PAUSE_MILLIS);
  t.is(admit(first), undefined);
});

test('a streamed response clears a suspect when it is complete, not when it is aborted', async t => {
  const {quarantine, crash, cleared} = createFixture();
  const request = requestTo('/1');
  crash(request);
  const broken = new PassThrough();
  broken.on('error', () => undefined);
  quarantine.end(request, answered(200, broken));
  broken.destroy(new Error('aborted'));
  const whole = new PassThrough();
  quarantine.end(request, answered(200, whole));
  t.deepEqual(cleared, []);
  whole.resume().end('end');
  await new Promise(resolve => whole.once('close', resolve));
  await new Promise(setImmediate);
  t.deepEqual(cleared, ['/1']);
});

test('a response clears a suspect, an upstream failure does not', t => {
  const {quarantine, crash, cleared} = createFixture();
  const request = requestTo('/1');
  crash(request);
  quarantine.end(request, answered(500));
  t.is(quarantine.crashesCount(request), 1);
  quarantine.end(request, answered(200));
  t.is(quarantine.crashesCount(request), 0);
  t.deepEqual(cleared, ['/1']);
});

test('a suspect that upstreams answer with a client error is not quarantined', t => {
  // Guards against an hour of refusals for a request for a missing resource that was in
  // progress during three crashes.
  const {quarantine, admit, crash, advance, cleared} = createFixture();
  const bystander = requestTo('/missing');
  for (let index = 0; index < 3; index += 1) {
    advance(PAUSE_MILLIS);
    t.is(admit(bystander), undefined);
    quarantine.end(bystander, answered(404));
    crash(bystander);
  }
  t.false(quarantine.holds(bystander));
  t.true(cleared.length > 0);
});

test('a response that does not prove execution clears no suspect', t => {
  for (const statusCode of [408, 425, 429, 500, 503]) {
    const {quarantine, crash, advance, cleared} = createFixture();
    const suspect = requestTo('/suspect');
    crash(suspect);
    advance(PAUSE_MILLIS);
    quarantine.end(suspect, answered(statusCode));
    t.deepEqual(cleared, [], String(statusCode));
  }
});
