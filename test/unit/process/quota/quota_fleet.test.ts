/**
 * Quotas of organisations over whole fleets: no window exceeds the tolerated
 * number of requests under any failure, and requests within a quota are served.
 */
import test from 'ava';
import type {QuotaResult} from '../../../fakes/quota_simulation.js';
import {simulateQuota} from '../../../fakes/quota_simulation.js';
import type {ScenarioName} from '../../../fakes/quota_scenarios.js';
import {
  QUOTA_SCENARIOS,
  SCENARIO_DURATION_MILLIS,
} from '../../../fakes/quota_scenarios.js';
import {coordinatedCounts} from '../../../fakes/quota_strategies.js';

function simulate(
  name: ScenarioName,
  fleet: {nodesCount: number; ratePerSecond: number; seed?: number},
): Promise<QuotaResult> {
  return simulateQuota(coordinatedCounts, {
    seed: 1,
    durationMillis: SCENARIO_DURATION_MILLIS,
    ...fleet,
    ...QUOTA_SCENARIOS[name],
  });
}

const NAMES = Object.keys(QUOTA_SCENARIOS) as ScenarioName[];

const SMALL_FLEETS = [
  {nodesCount: 13, ratePerSecond: 12},
  {nodesCount: 13, ratePerSecond: 338},
  {nodesCount: 57, ratePerSecond: 12},
  {nodesCount: 57, ratePerSecond: 338},
];

for (const fleet of SMALL_FLEETS) {
  const {nodesCount, ratePerSecond} = fleet;
  const title = `${String(nodesCount)} nodes, ${String(ratePerSecond)} a second`;
  test(`no window exceeds what the quota tolerates: ${title}`, async t => {
    for (const name of NAMES) {
      const {worstRatio} = await simulate(name, fleet);
      t.true(worstRatio <= 1, `${name}: ${worstRatio.toFixed(3)}`);
    }
  });
}

const LARGE_FLEETS: readonly (readonly [ScenarioName, number, number])[] = [
  ['surge at all nodes', 194, 338],
  ['surge with each zone cut off', 194, 12],
  ['surge and a third of the nodes killed', 194, 12],
  ['surge at all nodes', 830, 12],
  ['surge with one zone cut off', 830, 12],
];

test('no window exceeds what the quota tolerates: large fleets', async t => {
  for (const [name, nodesCount, ratePerSecond] of LARGE_FLEETS) {
    const {worstRatio} = await simulate(name, {nodesCount, ratePerSecond});
    t.true(worstRatio <= 1, `${name}: ${worstRatio.toFixed(3)}`);
  }
});

test('requests within a quota are served', async t => {
  for (const fleet of SMALL_FLEETS) {
    for (const name of ['usual', 'surge just to the limit'] as const) {
      const {servedRatio} = await simulate(name, fleet);
      t.true(servedRatio > 0.99, `${name}: ${servedRatio.toFixed(3)}`);
    }
  }
});

test('an organisation at its quota has its urgent requests served first', async t => {
  const {urgentRatio, otherRatio} = await simulate('surge at all nodes', {
    nodesCount: 57,
    ratePerSecond: 338,
  });
  t.true(urgentRatio > 4 * otherRatio);
});

test("quota messages stay a small part of a node's permitted traffic", async t => {
  for (const fleet of SMALL_FLEETS) {
    const {bytesPerSecond} = await simulate('surge at all nodes', fleet);
    t.true(bytesPerSecond < 1000, bytesPerSecond.toFixed(0));
  }
});
