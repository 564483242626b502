import {PassThrough} from 'node:stream';
import test from 'ava';
import type {ProbeResult} from '../../../src/connection/upstream_probe.js';
import type {UpstreamResult} from '../../../src/connection/upstream_result.js';
import type {DispatchedRequest} from '../../../src/request/crash_detector.js';
import {createCrashDetector} from '../../../src/request/crash_detector.js';

const LOST: UpstreamResult = {
  kind: 'unknown',
  reason: 'connection-lost',
  wasReused: false,
};
const CANCELLED: UpstreamResult = {...LOST, reason: 'cancelled'};
const REJECTED: UpstreamResult = {kind: 'not-run', reason: 'not-executed'};

function createFixture(result: ProbeResult) {
  let now = 0;
  let probesCount = 0;
  const crashes: (readonly string[])[] = [];
  const detector = createCrashDetector({
    probe: () => {
      probesCount += 1;
      return Promise.resolve(result);
    },
    nowMillis: () => now,
    onCrash: inProgress => {
      crashes.push(inProgress.map(({attemptId}) => attemptId));
    },
  });
  const begin = (attemptId: string): DispatchedRequest => {
    const request = {
      attemptId,
      upstreamId: 'u-1',
      callerService: 'shop',
      method: 'GET',
      target: '/',
      headers: [],
      body: Buffer.alloc(0),
      startedMillis: now,
    };
    detector.begin(request);
    return request;
  };
  return {
    detector,
    begin,
    crashes,
    probesCount: () => probesCount,
    advance: (millis: number) => {
      now += millis;
    },
  };
}

test('a crash reports all requests in progress once, with one probe', async t => {
  const {detector, begin, crashes, probesCount} = createFixture('refused');
  const [first, second, third] = ['a', 'b', 'c'].map(begin);
  t.false(detector.end(third!, REJECTED));
  const crashChecks = [detector.end(first!, LOST), detector.end(second!, LOST)];
  t.deepEqual(await Promise.all(crashChecks), [true, true]);
  t.deepEqual(crashes, [['a', 'b']]);
  t.is(probesCount(), 1);
});

test('a connection loss detected after the probe belongs to the same crash', async t => {
  const {detector, begin, crashes, probesCount} = createFixture('refused');
  const [first, second] = ['a', 'b'].map(begin);
  await detector.end(first!, LOST);
  t.true(await detector.end(second!, LOST));
  t.deepEqual(crashes, [['a', 'b']]);
  t.is(probesCount(), 1);
});

test('a connection lost while the upstream still listens is not a crash', async t => {
  const {detector, begin, crashes} = createFixture('accepted');
  t.false(await detector.end(begin('a'), LOST));
  t.deepEqual(crashes, []);
});

test('a request cancelled shortly before a crash is reported, an earlier one is not', async t => {
  const {detector, begin, crashes, advance} = createFixture('refused');
  const [early, late, last] = ['early', 'late', 'last'].map(begin);
  t.false(detector.end(early!, CANCELLED));
  advance(600);
  t.false(detector.end(late!, CANCELLED));
  advance(100);
  await detector.end(last!, LOST);
  t.deepEqual(crashes, [['last', 'late']]);
});

function answerWithRest(bodyRest: PassThrough): UpstreamResult {
  const answer = {
    statusCode: 200,
    headers: [],
    isUnframed: false,
    bodyStart: Buffer.alloc(0),
    bodyRest,
  };
  return {kind: 'answered', answer};
}

test('a crash in the middle of a streamed response reports its request', async t => {
  // Guards against counting a request as answered when it crashes the upstream after the
  // start of its response.
  const {detector, begin, crashes} = createFixture('refused');
  const rest = new PassThrough();
  t.false(detector.end(begin('long'), answerWithRest(rest)));
  rest.on('error', () => undefined);
  rest.destroy(new Error('aborted'));
  await new Promise(setImmediate);
  t.deepEqual(crashes, [['long']]);
});

test('a streamed response that was read to its end is not reported', async t => {
  const {detector, begin, crashes} = createFixture('refused');
  const rest = new PassThrough();
  t.false(detector.end(begin('long'), answerWithRest(rest)));
  rest.resume().end('end');
  await new Promise(resolve => rest.once('close', resolve));
  await detector.end(begin('other'), LOST);
  t.deepEqual(crashes, [['other']]);
});
