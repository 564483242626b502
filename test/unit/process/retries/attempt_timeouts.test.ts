import test from 'ava';
import {createAttemptTimeouts} from '../../../../src/process/retries/attempt_timeouts.js';
import {createSeededRandom} from '../../../fakes/seeded_random.js';

const KEY = 'lookup';

test('no timeout applies before enough responses were received', t => {
  const timeouts = createAttemptTimeouts();
  for (let index = 0; index < 10; index += 1) {
    timeouts.recordResponse(KEY, 40);
  }
  t.is(timeouts.timeoutMillis(KEY), undefined);
  t.is(timeouts.timeoutMillis('other'), undefined);
});

test('lost responses time out, usual ones are awaited', t => {
  // Requests of many calls failed at their deadline although upstreams were
  // healthy: a part of the responses was lost, and each lost one was awaited
  // until the deadline.
  const random = createSeededRandom(7);
  const timeouts = createAttemptTimeouts();
  let abandonedCount = 0;
  let prematureCount = 0;
  let longestMillis = 0;
  for (let index = 0; index < 5000; index += 1) {
    // Response times are uniform between 20 and 100 ms; three in ten are lost.
    const responseMillis = random() < 0.3 ? Infinity : 20 + 80 * random();
    const timeoutMillis = timeouts.timeoutMillis(KEY) ?? 100_000;
    if (responseMillis <= timeoutMillis) {
      timeouts.recordResponse(KEY, responseMillis);
      continue;
    }
    abandonedCount += 1;
    if (responseMillis < Infinity) prematureCount += 1;
    timeouts.recordTimeout(KEY);
    if (index > 100) longestMillis = Math.max(longestMillis, timeoutMillis);
  }
  t.true(abandonedCount > 1000);
  t.is(prematureCount, 0);
  t.true(longestMillis < 400, `waited ${String(longestMillis)} ms`);
});

test('a service that has become slower is awaited again', t => {
  // All upstreams take five times as long; abandoning each attempt would double
  // their load for as long as this lasts.
  const timeouts = createAttemptTimeouts();
  for (let index = 0; index < 100; index += 1) {
    timeouts.recordResponse(KEY, 50 + (index % 10));
  }
  let abandonedCount = 0;
  for (let index = 0; index < 300; index += 1) {
    const timeoutMillis = timeouts.timeoutMillis(KEY) ?? 0;
    if (timeoutMillis < 250) {
      abandonedCount += 1;
      timeouts.recordTimeout(KEY);
    } else {
      timeouts.recordResponse(KEY, 250);
    }
  }
  t.true(abandonedCount < 60, `${String(abandonedCount)} of 300 abandoned`);
});

test('most responses arrive within the likely time', t => {
  const timeouts = createAttemptTimeouts();
  t.is(timeouts.likelyMillis('read'), undefined);
  timeouts.recordResponse('read', 100);
  t.is(timeouts.likelyMillis('read'), 200);
  for (let index = 0; index < 200; index += 1) {
    timeouts.recordResponse('read', index % 2 === 0 ? 80 : 120);
  }
  const likelyMillis = timeouts.likelyMillis('read')!;
  t.true(likelyMillis >= 120 && likelyMillis <= 150, String(likelyMillis));
});
