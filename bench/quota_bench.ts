/**
 * Compares strategies to enforce a quota in a simulated fleet under the same loads:
 * `npm run bench -- quotas`.
 */
import type {QuotaStrategy} from '../test/fakes/quota_simulation.js';
import {simulateQuota} from '../test/fakes/quota_simulation.js';
import type {ScenarioName} from '../test/fakes/quota_scenarios.js';
import {
  QUOTA_SCENARIOS,
  SCENARIO_DURATION_MILLIS,
} from '../test/fakes/quota_scenarios.js';
import {
  coordinatedCounts,
  evenShares,
  exchangedCounts,
  leasedTokens,
} from '../test/fakes/quota_strategies.js';

const STRATEGIES: readonly (readonly [string, QuotaStrategy])[] = [
  ['even shares', evenShares],
  ['exchanged counts', exchangedCounts],
  ['leased tokens', leasedTokens],
  ['coordinated counts', coordinatedCounts],
];

const NAMES: readonly ScenarioName[] = [
  'usual',
  'surge at all nodes',
  'surge at one node',
  'surge with each zone cut off',
  'surge and all nodes killed',
];

const NODES_COUNT = 57;
const RATES_PER_SECOND = [12, 338];

/** Simulates each strategy; returns a table with a row for each load. */
export async function measureQuotas(): Promise<readonly string[]> {
  const lines = [
    '| strategy | rate | load | worst window | served | messages/s | bytes/s |',
    '|---|---|---|---|---|---|---|',
  ];
  for (const [title, strategy] of STRATEGIES) {
    for (const ratePerSecond of RATES_PER_SECOND) {
      for (const name of NAMES) {
        lines.push(await measure(title, strategy, name, ratePerSecond));
      }
    }
  }
  return lines;
}

async function measure(
  title: string,
  strategy: QuotaStrategy,
  name: ScenarioName,
  ratePerSecond: number,
): Promise<string> {
  const result = await simulateQuota(strategy, {
    nodesCount: NODES_COUNT,
    ratePerSecond,
    seed: 1,
    durationMillis: SCENARIO_DURATION_MILLIS,
    ...QUOTA_SCENARIOS[name],
  });
  const cells = [
    title,
    String(ratePerSecond),
    name,
    result.worstRatio.toFixed(2),
    result.servedRatio.toFixed(3),
    result.messagesPerSecond.toFixed(1),
    result.bytesPerSecond.toFixed(0),
  ];
  return `| ${cells.join(' | ')} |`;
}
