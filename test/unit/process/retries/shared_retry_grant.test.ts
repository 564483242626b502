import test from 'ava';
import fc from 'fast-check';
import type {
  RetryGrant,
  DelegatedRetries,
} from '../../../../src/process/retries/retry_grant.js';
import type {DelegationRule} from '../../../../src/process/retries/shared_retry_grant.js';
import {
  createRetryGrant,
  delegateAllButOne,
} from '../../../../src/process/retries/shared_retry_grant.js';
import {createSeededRandom} from '../../../fakes/seeded_random.js';

/** A call tree in which every hop calls `fanOutCount` hosts. */
interface Tree {
  readonly depth: number;
  readonly fanOutCount: number;
  readonly isParallel: boolean;
  readonly boundCount: number;
  /**
   * Probability that a host refuses, and that the response of one that ran is
   * lost.
   */
  readonly refusedRatio: number;
  readonly lostRatio: number;
  readonly delegationRule: DelegationRule;
}

/** Reclaims or discards delegated retries, correctly or repeatedly and late. */
type ReturnRetries = (
  delegated: DelegatedRetries,
  unspentCount: number,
  isLost: boolean,
) => void;

const returnOnce: ReturnRetries = (delegated, unspentCount, isLost) => {
  if (isLost) delegated.discard();
  else delegated.reclaim(unspentCount);
};

/** Runs one request through the tree and counts the retries of all hops. */
function runRequest(
  tree: Tree,
  random: () => number,
  returnRetries: ReturnRetries,
) {
  let spentCount = 0;

  function runAttempt(delegated: DelegatedRetries, levels: number): boolean {
    if (random() < tree.refusedRatio) {
      returnRetries(delegated, delegated.count, false);
      return false;
    }
    const grant = createRetryGrant(delegated.count, tree.delegationRule);
    const isServed = runHop(grant, levels);
    const isLost = random() < tree.lostRatio;
    returnRetries(delegated, grant.remaining(), isLost);
    return isServed && !isLost;
  }

  function retryUntilServed(grant: RetryGrant, levels: number): boolean {
    while (grant.trySpend()) {
      spentCount += 1;
      if (runAttempt(grant.delegate(), levels)) return true;
    }
    return false;
  }

  function runHop(grant: RetryGrant, levels: number): boolean {
    if (levels === 0) return true;
    const calls = Array.from({length: tree.fanOutCount}, () => undefined);
    if (tree.isParallel) {
      // Retries are delegated to all calls before the first call returns any.
      const delegatedList = calls.map(() => grant.delegate());
      const results = delegatedList.map(delegated =>
        runAttempt(delegated, levels - 1),
      );
      return results.every(isOk => isOk || retryUntilServed(grant, levels - 1));
    }
    return calls.every(
      () =>
        runAttempt(grant.delegate(), levels - 1) ||
        retryUntilServed(grant, levels - 1),
    );
  }

  const grant = createRetryGrant(tree.boundCount, tree.delegationRule);
  const isServed =
    runAttempt(grant.delegate(), tree.depth - 1) ||
    retryUntilServed(grant, tree.depth - 1);
  return {isServed, spentCount};
}

const delegateHalf: DelegationRule = count => Math.ceil(count / 2);
const delegateAll: DelegationRule = count => count;

test('retries stay within the bound over the whole tree', t => {
  // Guards against a request that causes many times the allowed retries:
  // responses are lost, counts arrive twice or after the retries were
  // discarded, and a count that is copied, or returned more than once,
  // multiplies.
  const returnRepeatedly: ReturnRetries = (delegated, unspentCount, isLost) => {
    returnOnce(delegated, unspentCount, isLost);
    delegated.reclaim(unspentCount);
    delegated.discard();
    delegated.reclaim(delegated.count);
  };
  fc.assert(
    fc.property(
      fc.record({
        depth: fc.integer({min: 1, max: 8}),
        fanOutCount: fc.integer({min: 1, max: 4}),
        isParallel: fc.boolean(),
        boundCount: fc.nat(6),
        refusedRatio: fc.constantFrom(0, 0.1, 0.5),
        lostRatio: fc.constantFrom(0, 0.1, 0.5),
        delegationRule: fc.constantFrom(
          delegateAllButOne,
          delegateHalf,
          delegateAll,
        ),
      }),
      fc.integer(),
      (tree, seed) => {
        // Traversing a full tree of that size would take too long.
        const depth =
          tree.fanOutCount > 2 ? Math.min(4, tree.depth) : tree.depth;
        const random = createSeededRandom(seed);
        const result = runRequest({...tree, depth}, random, returnRepeatedly);
        return result.spentCount <= tree.boundCount;
      },
    ),
    {numRuns: 250, seed: 7},
  );
  t.pass();
});

for (const [reported, returned] of [
  [2, 2],
  [1.9, 1],
  [1e9, 3],
  [-5, 0],
  [Number.NaN, 0],
  [Number.POSITIVE_INFINITY, 0],
] as const) {
  test(`a report of ${reported} unspent of 3 delegated returns ${returned}`, t => {
    // Guards against a request that never stops retrying: a callee reports more
    // unspent retries than it received, and the report is added unchecked.
    const grant = createRetryGrant(4);
    const delegated = grant.delegate();
    t.is(delegated.count, 3);
    delegated.reclaim(reported);
    t.is(grant.remaining(), 1 + returned);
  });
}

for (const count of [0, -1, Number.NaN]) {
  test(`a grant of ${count} allows no retry`, t => {
    const grant = createRetryGrant(count);
    t.false(grant.trySpend());
    t.is(grant.delegate().count, 0);
  });
}

test('delegating all but one serves most requests when some responses are lost', t => {
  const shapes = [1, 2, 3, 4, 5, 6, 7, 8].flatMap(depth =>
    [1, 2, 3, 4]
      .filter(fanOutCount => fanOutCount ** (depth - 1) <= 64)
      .map(fanOutCount => ({depth, fanOutCount})),
  );
  const servedRatioOf = (delegationRule: DelegationRule): number => {
    const random = createSeededRandom(11);
    let servedCount = 0;
    let requestCount = 0;
    for (const shape of shapes) {
      for (let index = 0; index < 300; index += 1) {
        const tree: Tree = {
          ...shape,
          isParallel: index % 2 === 0,
          boundCount: 4,
          refusedRatio: 0.01,
          lostRatio: 0.01,
          delegationRule,
        };
        requestCount += 1;
        if (runRequest(tree, random, returnOnce).isServed) servedCount += 1;
      }
    }
    return servedCount / requestCount;
  };
  const [allButOne, half, all] = [
    delegateAllButOne,
    delegateHalf,
    delegateAll,
  ].map(servedRatioOf) as [number, number, number];
  t.log(`all but one ${allButOne}, half ${half}, all ${all}`);
  t.true(allButOne > half && half > all);
});
