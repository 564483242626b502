import test from 'ava';
import {createQuotaCoordinator} from '../../../../src/process/quota/quota_coordinator.js';
import type {QuotaReport} from '../../../../src/protocol/quota_messages.js';

function createFixture(quota = {ratePerSecond: 10, burstCount: 10}) {
  let now = 60_000;
  const coordinator = createQuotaCoordinator({
    quotaOf: name => (name === 'acme' ? quota : undefined),
    bound: () => ({windowMillis: 5000, overageRatio: 0, slackCount: 0}),
    isFirstChoice: () => true,
    reachableRatio: () => 1,
    nowMillis: () => now,
  });
  now += 10_000;
  const advance = (millis: number): void => {
    now += millis;
  };
  return {coordinator, advance};
}

function report(
  sequence: number,
  ranCount: number,
  unconfirmedCount = ranCount,
): QuotaReport {
  const use = {organisation: 'acme', ranCount, unconfirmedCount};
  return {
    reporterId: 'node-a',
    zone: 'zone-a',
    sequence,
    uses: [{...use, offeredCounts: [unconfirmedCount]}],
  };
}

test('a duplicate report counts once', t => {
  const {coordinator} = createFixture();
  const first = coordinator.receive(report(1, 12));
  t.true((first[0]?.returnMillis ?? 0) > 0);
  const again = coordinator.receive(report(1, 12));
  t.is(again[0]?.returnMillis, first[0]?.returnMillis);
  const stale = coordinator.receive(report(0, 4));
  t.is(stale[0]?.returnMillis, first[0]?.returnMillis);
});

test('requests that another coordinator has confirmed meanwhile do not count', t => {
  const {coordinator, advance} = createFixture();
  coordinator.receive(report(1, 5));
  advance(1000);
  const [allowance] = coordinator.receive(report(2, 105, 2));
  t.is(allowance?.returnMillis, 0);
});

test('debt is paid back before anything is admitted', t => {
  const {coordinator, advance} = createFixture();
  const [overdrawn] = coordinator.receive(report(1, 40));
  t.deepEqual(overdrawn?.admittedRatios[0], 0);
  t.true((overdrawn?.returnMillis ?? 0) >= 2900);
  advance(3100);
  const [paid] = coordinator.receive(report(2, 40, 0));
  t.is(paid?.returnMillis, 0);
});

test('an organisation that the version does not limit is admitted', t => {
  const {coordinator} = createFixture();
  const [allowance] = coordinator.receive({
    ...report(1, 1),
    uses: [
      {
        organisation: 'globex',
        ranCount: 9,
        unconfirmedCount: 9,
        offeredCounts: [9],
      },
    ],
  });
  t.deepEqual(allowance?.admittedRatios, []);
  t.is(coordinator.accountsCount, 0);
});
