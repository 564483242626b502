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

function createGate(nodesCount = 100) {
  let now = 0;
  const gate = createQuotaLimiter({
    bound: () => ({windowMillis: 5000, overageRatio: 0.25, slackCount: 20}),
    nodesCount: () => nodesCount,
    nowMillis: () => now,
    random: () => 0.5,
  });
  const pass = (millis: number): void => {
    now += millis;
  };
  return {gate, pass};
}

test('an organisation without a quota is admitted and never reported', t => {
  const {gate} = createGate();
  const unlimited = {...LARGE, quota: undefined};
  t.is(gate.check(unlimited, 0).kind, 'admitted');
  gate.recordRan(unlimited);
  t.deepEqual(gate.takeUses(ALL), []);
});

test('a node asks first where one request at each node would matter', t => {
  const {gate} = createGate();
  t.is(gate.check(LARGE, 0).kind, 'admitted');
  t.is(gate.check(SMALL, 0).kind, 'unknown');
});

test('requests that were taken back use up no quota', t => {
  const {gate} = createGate();
  for (let sent = 0; sent < 5; sent += 1) {
    gate.check(LARGE, 0);
    gate.recordRan(LARGE);
  }
  gate.recordNotRun(LARGE);
  gate.recordNotRun(LARGE);
  const [use] = gate.takeUses(ALL);
  t.like(use, {ranCount: 3, unconfirmedCount: 3});
  gate.confirm([use!], [allowance('acme', [])]);
  gate.recordNotRun(LARGE);
  t.like(gate.takeUses(ALL)[0], {ranCount: 2, unconfirmedCount: -1});
});

test('shares are kept for each rank, and a refusal tells what was known', t => {
  const {gate, pass} = createGate();
  gate.check(LARGE, 0);
  gate.confirm(gate.takeUses(ALL), [allowance('acme', [1, 0.5, 0])]);
  const admittedOf = (rank: number): number => {
    let count = 0;
    for (let sent = 0; sent < 100; sent += 1) {
      if (gate.check(LARGE, rank).kind === 'admitted') count += 1;
    }
    return count;
  };
  t.is(admittedOf(0), 100);
  t.is(admittedOf(1), 50);
  t.is(admittedOf(2), 0);
  t.is(admittedOf(7), 0);
  pass(300);
  const verdict = gate.check(LARGE, 2);
  t.like(verdict, {
    kind: 'over-quota',
    known: {organisation: 'acme', returnMillis: 700, ageMillis: 300},
  });
});

test('what was allowed last is followed while the coordinator does not answer', t => {
  const {gate, pass} = createGate();
  gate.check(SMALL, 0);
  gate.confirm(
    [gate.takeUse('globex', SMALL.quota!)],
    [allowance('globex', [0])],
  );
  pass(5000);
  t.is(gate.check(SMALL, 0).kind, 'unknown');
  t.is(gate.checkWithoutCoordinator(SMALL, 0).kind, 'over-quota');
  t.is(gate.limited().length, 1);
});

test('a coordinator that has just taken over leaves the last allowance in force', t => {
  const {gate} = createGate();
  gate.check(LARGE, 0);
  gate.confirm(gate.takeUses(ALL), [allowance('acme', [0])]);
  const settling = {...allowance('acme', []), isSettling: true};
  gate.confirm(gate.takeUses(ALL), [settling]);
  t.is(gate.check(LARGE, 0).kind, 'over-quota');
});

test('a quiet organisation is no longer kept', t => {
  const {gate, pass} = createGate();
  gate.check(LARGE, 0);
  gate.confirm(gate.takeUses(ALL), [allowance('acme', [0])]);
  pass(20_000);
  gate.expire();
  t.deepEqual(gate.limited(), []);
  t.deepEqual(gate.takeUses(ALL), []);
});
