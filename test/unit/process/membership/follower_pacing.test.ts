import test from 'ava';
import {createFollowerPacing} from '../../../../src/process/membership/follower_pacing.js';
import {createSeededRandom} from '../../../fakes/seeded_random.js';

const NODES_COUNT = 12;

/** Time for which a store that has just dropped its history tells nothing. */
const HELD_MILLIS = 60;

/** Ends of the pauses and of the first watches after a change that all learn of. */
function askTimes(): readonly {firstMillis: number; secondMillis: number}[] {
  const random = createSeededRandom(1);
  return Array.from({length: NODES_COUNT}, () => {
    const pace = createFollowerPacing({applyWithinMillis: 2000, random});
    const firstMillis = pace.batchDelayMillis();
    return {firstMillis, secondMillis: firstMillis + pace.watchTimeoutMillis()};
  });
}

test('nodes that gather from the same change do not all ask at the same moment', t => {
  // All fifteen nodes followed a version 3.2 s late, and refused requests for its
  // route. A change had reached them within 0.1 s of each other, they waited 1.5 s
  // for more, and all began to watch within 0.05 s, in which the store, which
  // dropped its history, heard none of them: "history-lost" after 3434 to 3473 ms
  // on each. No node was left to tell the others.
  const seconds = askTimes().map(({secondMillis}) => secondMillis);
  for (const from of seconds) {
    const askingCount = seconds.filter(
      millis => millis >= from && millis < from + HELD_MILLIS,
    ).length;
    t.true(askingCount <= NODES_COUNT / 2, String(askingCount));
  }
});

test('a first watch that hears nothing ends in time for a version', t => {
  // The drop may come 1.3 s after the version, and the answer takes a moment.
  for (const {firstMillis, secondMillis} of askTimes()) {
    t.true(secondMillis - firstMillis <= 600);
  }
});
