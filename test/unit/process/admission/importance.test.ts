import test from 'ava';
import {
  BUCKETS_COUNT,
  importanceOf,
  isPromotable,
  LEAST_IMPORTANT,
  rankOf,
  rankOfRequest,
  shedPositionOf,
} from '../../../../src/process/admission/importance.js';

test('the rank of an organisation takes precedence over that of a route', t => {
  const rank = (organisationRank: number | undefined, routeRank: number) =>
    rankOfRequest({routeRank, lowestRouteRank: 2, organisationRank});
  const ranks = [rank(0, 0), rank(0, 2), rank(1, 0), rank(1, 2)];
  t.deepEqual(ranks, [0, 2, 3, 5]);
  t.is(rank(undefined, 2), 2);
  t.true(importanceOf(rank(0, 2), 'a') < importanceOf(rank(1, 0), 'b'));
});

/** Importance values of one rank. */
function importancesOf(rank: number): readonly number[] {
  return Array.from(
    {length: BUCKETS_COUNT},
    (_, bucket) => rank * BUCKETS_COUNT + bucket,
  );
}

test('an eighth of each lower rank is shed with more important ranks', t => {
  // Guards against a kind that is never served while more important ones take
  // all of the capacity.
  for (let rank = 1; rank <= rankOf(LEAST_IMPORTANT); rank += 1) {
    const shared = importancesOf(rank).filter(
      importance => rankOf(shedPositionOf(importance)) < rank,
    );
    t.is(shared.length, BUCKETS_COUNT / 8, `rank ${rank}`);
    for (const importance of shared) {
      const sharedRank = rankOf(shedPositionOf(importance));
      t.true(sharedRank === 0 || sharedRank === rank - 1);
    }
  }
});

test('the first rank and the rest of a lower rank are shed in their own place', t => {
  for (const importance of importancesOf(0)) {
    t.is(shedPositionOf(importance), importance);
    t.false(isPromotable(importance));
  }
  for (const importance of importancesOf(3).slice(BUCKETS_COUNT / 8)) {
    t.is(shedPositionOf(importance), importance);
    t.false(isPromotable(importance));
  }
});

test('what is promoted is shed with the first rank', t => {
  for (let importance = 0; importance <= LEAST_IMPORTANT; importance += 1) {
    if (!isPromotable(importance)) continue;
    t.is(rankOf(shedPositionOf(importance)), 0);
  }
});
