import test from 'ava';
import type {QuotaAllowance} from '../../../../src/protocol/quota_messages.js';
import {createQuotaLimiter} from '../../../../src/process/quota/quota_limiter.js';
import type {Organisation} from '../../../../src/version/organisation.js';

const LARGE: Organisation = {
  name: 'acme',
  keyDigests: [],
  rank: 0,
  quota: {ratePerSecond: 1000, burstCount: 1000},
};

const SMALL: Organisation = {
  ...LARGE,
  name: 'globex',
  quota: {ratePerSecond: 1, burstCount: 1},
};

const ALL: () => boolean = () => true;

function allowance(
  organisation: string,
  admittedRatios: readonly number[],
): QuotaAllowance {
  return {
    organisation,
    isSettling: false,
    admittedRatios,
    returnMillis: 700,
    ranPerSecond: 9,
    limitPerSecond: 10,
  };
}

function createLimiter(nodesCount = 100) {
  let now = 0;
  const limiter = createQuotaLimiter({
    bound: () => ({windowMillis: 5000, overageRatio: 0.25, slackCount: 20}),
    nodesCount: () => nodesCount,
    nowMillis: () => now,
    random: () => 0.5,
  });
  const advance = (millis: number): void => {
    now += millis;
  };
  return {limiter, advance};
}

test('an organisation without a quota is admitted and never reported', t => {
  const {limiter} = createLimiter();
  const unlimited = {...LARGE, quota: undefined};
  t.is(limiter.check(unlimited, 0).kind, 'admitted');
  limiter.recordRan(unlimited);
  t.deepEqual(limiter.takeDueUsages(ALL), []);
});

test('a node requests an allowance first where one request at each node would matter', t => {
  const {limiter} = createLimiter();
  t.is(limiter.check(LARGE, 0).kind, 'admitted');
  t.is(limiter.check(SMALL, 0).kind, 'unknown');
});

test('requests that did not run use up no quota', t => {
  const {limiter} = createLimiter();
  for (let sent = 0; sent < 5; sent += 1) {
    limiter.check(LARGE, 0);
    limiter.recordRan(LARGE);
  }
  limiter.recordNotRun(LARGE);
  limiter.recordNotRun(LARGE);
  const [use] = limiter.takeDueUsages(ALL);
  t.like(use, {ranCount: 3, unconfirmedCount: 3});
  limiter.confirm([use!], [allowance('acme', [])]);
  limiter.recordNotRun(LARGE);
  t.like(limiter.takeDueUsages(ALL)[0], {ranCount: 2, unconfirmedCount: -1});
});

test('admitted ratios apply by rank, and a refusal contains the cached allowance', t => {
  const {limiter, advance} = createLimiter();
  limiter.check(LARGE, 0);
  limiter.confirm(limiter.takeDueUsages(ALL), [allowance('acme', [1, 0.5, 0])]);
  const admittedOf = (rank: number): number => {
    let count = 0;
    for (let sent = 0; sent < 100; sent += 1) {
      if (limiter.check(LARGE, rank).kind === 'admitted') count += 1;
    }
    return count;
  };
  t.is(admittedOf(0), 100);
  t.is(admittedOf(1), 50);
  t.is(admittedOf(2), 0);
  t.is(admittedOf(7), 0);
  advance(300);
  const result = limiter.check(LARGE, 2);
  t.like(result, {
    kind: 'over-quota',
    allowance: {organisation: 'acme', returnMillis: 700, ageMillis: 300},
  });
});

test('the last allowance stays in force while the coordinator does not respond', t => {
  const {limiter, advance} = createLimiter();
  limiter.check(SMALL, 0);
  limiter.confirm(
    [limiter.takeUsage('globex', SMALL.quota!)],
    [allowance('globex', [0])],
  );
  advance(5000);
  t.is(limiter.check(SMALL, 0).kind, 'unknown');
  t.is(limiter.checkWithoutCoordinator(SMALL, 0).kind, 'over-quota');
  t.is(limiter.limited().length, 1);
});

test('a coordinator that has just taken over leaves the last allowance in force', t => {
  const {limiter} = createLimiter();
  limiter.check(LARGE, 0);
  limiter.confirm(limiter.takeDueUsages(ALL), [allowance('acme', [0])]);
  const settling = {...allowance('acme', []), isSettling: true};
  limiter.confirm(limiter.takeDueUsages(ALL), [settling]);
  t.is(limiter.check(LARGE, 0).kind, 'over-quota');
});

test('an inactive organisation is removed', t => {
  const {limiter, advance} = createLimiter();
  limiter.check(LARGE, 0);
  limiter.confirm(limiter.takeDueUsages(ALL), [allowance('acme', [0])]);
  advance(20_000);
  limiter.expire();
  t.deepEqual(limiter.limited(), []);
  t.deepEqual(limiter.takeDueUsages(ALL), []);
});
