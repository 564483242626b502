/**
 * Ways of keeping a quota over a fleet, replayed with the same loads:
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

const WAYS: readonly (readonly [string, QuotaStrategy])[] = [
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

/** Replays each way and prints a row for each load. */
export async function measureQuotas(): Promise<readonly string[]> {
  const lines = [
    '| way | rate | load | worst window | served | messages/s | bytes/s |',
    '|---|---|---|---|---|---|---|',
  ];
  for (const [title, way] of WAYS) {
    for (const ratePerSecond of RATES_PER_SECOND) {
      for (const name of NAMES) {
        lines.push(await measure(title, way, name, ratePerSecond));
      }
    }
  }
  return lines;
}

async function measure(
  title: string,
  way: QuotaStrategy,
  name: ScenarioName,
  ratePerSecond: number,
): Promise<string> {
  const outcome = await simulateQuota(way, {
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
    outcome.worstRatio.toFixed(2),
    outcome.servedRatio.toFixed(3),
    outcome.messagesPerSecond.toFixed(1),
    outcome.bytesPerSecond.toFixed(0),
  ];
  return `| ${cells.join(' | ')} |`;
}
