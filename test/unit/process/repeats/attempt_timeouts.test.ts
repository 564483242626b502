import test from 'ava';
import {createAttemptTimeouts} from '../../../../src/process/repeats/attempt_timeouts.js';
import {createSeededRandom} from '../../../fakes/seeded_random.js';

const KEY = 'lookup';

test('nothing is given up before enough answers have come', t => {
  const patience = createAttemptTimeouts();
  for (let index = 0; index < 10; index += 1) {
    patience.recordResponse(KEY, 40);
  }
  t.is(patience.timeoutMillis(KEY), undefined);
  t.is(patience.timeoutMillis('other'), undefined);
});

test('lost answers are noticed, usual ones are waited for', t => {
  // Symptom: requests of many calls fail at their deadline while upstreams are
  // well. Sequence: a part of the answers is lost. Cause: each lost one was
  // waited for to the end.
  const random = createSeededRandom(7);
  const patience = createAttemptTimeouts();
  let givenUpCount = 0;
  let needlessCount = 0;
  let longestMillis = 0;
  for (let index = 0; index < 5000; index += 1) {
    // Answer times spread evenly between 20 and 100 ms; three in ten are lost.
    const answerMillis = random() < 0.3 ? Infinity : 20 + 80 * random();
    const limitMillis = patience.timeoutMillis(KEY) ?? 100_000;
    if (answerMillis <= limitMillis) {
      patience.recordResponse(KEY, answerMillis);
      continue;
    }
    givenUpCount += 1;
    if (answerMillis < Infinity) needlessCount += 1;
    patience.recordTimeout(KEY);
    if (index > 100) longestMillis = Math.max(longestMillis, limitMillis);
  }
  t.true(givenUpCount > 1000);
  t.is(needlessCount, 0);
  t.true(longestMillis < 400, `waited ${String(longestMillis)} ms`);
});

test('a service that has become slower is waited for again', t => {
  // All upstreams take five times as long; giving each attempt up would double
  // their load for as long as it lasts.
  const patience = createAttemptTimeouts();
  for (let index = 0; index < 100; index += 1) {
    patience.recordResponse(KEY, 50 + (index % 10));
  }
  let givenUpCount = 0;
  for (let index = 0; index < 300; index += 1) {
    const limitMillis = patience.timeoutMillis(KEY) ?? 0;
    if (limitMillis < 250) {
      givenUpCount += 1;
      patience.recordTimeout(KEY);
    } else {
      patience.recordResponse(KEY, 250);
    }
  }
  t.true(givenUpCount < 60, `${String(givenUpCount)} of 300 given up`);
});
