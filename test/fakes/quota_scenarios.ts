/**
 * Load and failure scenarios of a fleet that enforces a quota.
 */
import type {QuotaScenario} from './quota_simulation.js';

/** Load and failures, without the size of the fleet and its rate. */
export type ScenarioOptions = Omit<
  QuotaScenario,
  'nodesCount' | 'ratePerSecond' | 'seed' | 'durationMillis'
>;

/** Duration of each scenario. */
export const SCENARIO_DURATION_MILLIS = 12_000;

/** Usual load of an organisation as a ratio of its quota's rate. */
const USUAL_RATIO = 1 / 1.6;

const PARTITION_MILLIS = {from: 4000, to: 9000};

const usualRatio = (): number => USUAL_RATIO;

/** Returns a load of so many times the usual one for six seconds. */
function surge(times: number): (millis: number) => number {
  return millis =>
    millis >= 3000 && millis < 9000 ? times * USUAL_RATIO : USUAL_RATIO;
}

function isPartitioned(millis: number): boolean {
  return millis >= PARTITION_MILLIS.from && millis <= PARTITION_MILLIS.to;
}

/** Partitions one zone from the others. */
function isConnectedWithOneZoneCut(
  from: number,
  to: number,
  millis: number,
): boolean {
  return !isPartitioned(millis) || (from === 0) === (to === 0);
}

/** Partitions each zone from all others. */
function isConnectedWithAllZonesCut(
  from: number,
  to: number,
  millis: number,
): boolean {
  return !isPartitioned(millis) || from === to;
}

/** Scenarios by name. */
export const QUOTA_SCENARIOS = {
  usual: {offeredRatio: usualRatio},
  'surge at all nodes': {offeredRatio: surge(10)},
  'surge at one node': {offeredRatio: surge(10), chooseEntryIndex: () => 5},
  'surge just to the limit': {offeredRatio: surge(1.6)},
  'one zone cut off': {
    offeredRatio: usualRatio,
    isConnected: isConnectedWithOneZoneCut,
  },
  'surge with one zone cut off': {
    offeredRatio: surge(7.5),
    isConnected: isConnectedWithOneZoneCut,
  },
  'surge with each zone cut off': {
    offeredRatio: surge(7.5),
    isConnected: isConnectedWithAllZonesCut,
  },
  'surge and a third of the nodes killed': {
    offeredRatio: surge(7.5),
    killed: {atMillis: 5000, ratio: 1 / 3},
  },
  'surge and all nodes killed': {
    offeredRatio: surge(7.5),
    killed: {atMillis: 5000, ratio: 1},
  },
  'surge and a paused node': {
    offeredRatio: surge(7.5),
    paused: {atMillis: 4500, index: 3},
  },
  'surge with lost messages': {offeredRatio: surge(7.5), lostRatio: 0.05},
  'quota lowered far below the usual': {
    offeredRatio: usualRatio,
    quotaRatio: (millis: number) => (millis > 5000 ? 0.15 : 1),
  },
} satisfies Readonly<Record<string, ScenarioOptions>>;

export type ScenarioName = keyof typeof QUOTA_SCENARIOS;
