import test from 'ava';
import {createFollowerPacing} from '../../../../src/process/membership/follower_pacing.js';
import {createSeededRandom} from '../../../fakes/seeded_random.js';

const NODES_COUNT = 12;

/** Time for which a store that has just dropped its history does not notify. */
const SILENT_MILLIS = 60;

/** Ends of the batch delays and of the first watches after a common change. */
function watchTimes(): readonly {firstMillis: number; secondMillis: number}[] {
  const random = createSeededRandom(1);
  return Array.from({length: NODES_COUNT}, () => {
    const pacing = createFollowerPacing({applyWithinMillis: 2000, random});
    const firstMillis = pacing.batchDelayMillis();
    return {
      firstMillis,
      secondMillis: firstMillis + pacing.watchTimeoutMillis(),
    };
  });
}

test('nodes that batch after the same change do not all watch at the same moment', t => {
  // All fifteen nodes applied a version 3.2 s late, and refused requests for
  // its route. They had received a change within 0.1 s of each other, batched
  // for 1.5 s, and all started to watch within 0.05 s, in which the store
  // dropped its history and registered none of the watches: "history-lost"
  // after 3434 to 3473 ms on each. No node was left to relay to the others.
  const seconds = watchTimes().map(({secondMillis}) => secondMillis);
  for (const from of seconds) {
    const watchingCount = seconds.filter(
      millis => millis >= from && millis < from + SILENT_MILLIS,
    ).length;
    t.true(watchingCount <= NODES_COUNT / 2, String(watchingCount));
  }
});

test('a first watch that is not notified ends in time for a version', t => {
  // The history may be dropped 1.3 s after the version, and the response takes
  // a moment.
  for (const {firstMillis, secondMillis} of watchTimes()) {
    t.true(secondMillis - firstMillis <= 600);
  }
});

test('watches wait for whole milliseconds', t => {
  // The platform's store responds at once to a watch whose wait is a fraction: nodes made
  // a hundred calls a second.
  const pacing = createFollowerPacing({
    applyWithinMillis: 2000,
    random: createSeededRandom(2),
  });
  for (const renewInMillis of [undefined, 949.2, 0.4]) {
    pacing.batchDelayMillis();
    t.true(Number.isInteger(pacing.watchTimeoutMillis(renewInMillis)));
  }
});

test('a source that responds early without changes is not called in a tight loop', t => {
  const pacing = createFollowerPacing({
    applyWithinMillis: 2000,
    random: createSeededRandom(3),
  });
  t.is(pacing.unchangedDelayMillis(8, 950), 92);
  t.is(pacing.unchangedDelayMillis(954, 950), 0);
});
