import test from 'ava';
import {
  importanceOf,
  rankOfRequest,
} from '../../../../src/process/admission/importance.js';

test('the rank of an organisation takes precedence over that of a route', t => {
  const rank = (organisationRank: number | undefined, routeRank: number) =>
    rankOfRequest({routeRank, lowestRouteRank: 2, organisationRank});
  const ranks = [rank(0, 0), rank(0, 2), rank(1, 0), rank(1, 2)];
  t.deepEqual(ranks, [0, 2, 3, 5]);
  t.is(rank(undefined, 2), 2);
  t.true(importanceOf(rank(0, 2), 'a') < importanceOf(rank(1, 0), 'b'));
});
