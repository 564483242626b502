/**
 * What may happen to a fleet that keeps a quota.
 */
import type {QuotaScenario} from './quota_simulation.js';

/** What a scenario adds to a fleet and its rate. */
export type ScenarioOptions = Omit<
  QuotaScenario,
  'nodesCount' | 'ratePerSecond' | 'seed' | 'durationMillis'
>;

/** Time that a scenario takes. */
export const SCENARIO_DURATION_MILLIS = 12_000;

/** Usual requests of an organisation, in relation to its rate. */
const USUAL_RATIO = 1 / 1.6;

const CUT_MILLIS = {from: 4000, to: 9000};

const usually = (): number => USUAL_RATIO;

/** Many times the usual, for six seconds. */
function surge(times: number): (millis: number) => number {
  return millis =>
    millis >= 3000 && millis < 9000 ? times * USUAL_RATIO : USUAL_RATIO;
}

function isCut(millis: number): boolean {
  return millis >= CUT_MILLIS.from && millis <= CUT_MILLIS.to;
}

/** One zone apart from the others. */
function inTwoParts(from: number, to: number, millis: number): boolean {
  return !isCut(millis) || (from === 0) === (to === 0);
}

/** Each zone apart from all others. */
function inAllParts(from: number, to: number, millis: number): boolean {
  return !isCut(millis) || from === to;
}

/** Scenarios by name. */
export const QUOTA_SCENARIOS = {
  usual: {offeredRatio: usually},
  'surge at all nodes': {offeredRatio: surge(10)},
  'surge at one node': {offeredRatio: surge(10), chooseEntryIndex: () => 5},
  'surge just to the limit': {offeredRatio: surge(1.6)},
  'one zone cut off': {offeredRatio: usually, isConnected: inTwoParts},
  'surge with one zone cut off': {
    offeredRatio: surge(7.5),
    isConnected: inTwoParts,
  },
  'surge with each zone cut off': {
    offeredRatio: surge(7.5),
    isConnected: inAllParts,
  },
  'surge and a third of the nodes killed': {
    offeredRatio: surge(7.5),
    killed: {atMillis: 5000, ratio: 1 / 3},
  },
  'surge and all nodes killed': {
    offeredRatio: surge(7.5),
    killed: {atMillis: 5000, ratio: 1},
  },
  'surge and a node that stands still': {
    offeredRatio: surge(7.5),
    paused: {atMillis: 4500, index: 3},
  },
  'surge with lost messages': {offeredRatio: surge(7.5), lostRatio: 0.05},
  'quota lowered far below the usual': {
    offeredRatio: usually,
    quotaRatio: (millis: number) => (millis > 5000 ? 0.15 : 1),
  },
} satisfies Readonly<Record<string, ScenarioOptions>>;

/** Name of a scenario. */
export type ScenarioName = keyof typeof QUOTA_SCENARIOS;
