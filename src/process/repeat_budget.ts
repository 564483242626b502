/**
 * This node's share of the bound on repeats that each service receives from
 * the whole fleet.
 *
 * Load pattern: a service fails part of its requests and every node repeats
 * them; the repeats and the calls made for them keep the service overloaded
 * after its fault is over. The bound counts over all nodes, which do not ask
 * each other: each spends in proportion to the requests it sends itself, and
 * an equal part of the fixed slack.
 */
import type {CallCounts} from './call_trees.js';
import type {RepeatBound} from './node_settings.js';

/** Budget of one node. */
export interface RepeatBudget {
  /** Counts a request and the calls it is expected to cause. */
  recordRequest(counts: CallCounts): void;
  /** Takes one repeat and the calls it will cause, or nothing at all. */
  tryTake(counts: CallCounts): boolean;
  /** Takes a repeat whatever is left. */
  take(counts: CallCounts): void;
}

/** What a budget needs. */
export interface RepeatBudgetOptions {
  /** The bound of now; settings may change it. */
  readonly bound: () => RepeatBound;
  readonly nowMillis: () => number;
  /** Nodes of the fleet that may spend. */
  readonly nodesCount: () => number;
}

/** Parts of the window; the oldest is dropped as a new one begins. */
const PARTS_COUNT = 10;

/**
 * Share of the bound that is spent. Half, since a call made for a client's
 * request is counted where the client entered and where the call is made;
 * three quarters of that, for nodes that come and go and for edges of windows.
 */
const SPENT_RATIO = 0.375;

interface Usage {
  readonly requests: Float64Array;
  readonly repeats: Float64Array;
  part: number;
}

/** Creates a budget without usage. */
export function createRepeatBudget(options: RepeatBudgetOptions): RepeatBudget {
  const {nowMillis} = options;
  const usages = new Map<string, Usage>();

  const usageOf = (service: string): Usage => {
    const partMillis = options.bound().windowMillis / PARTS_COUNT;
    const part = Math.floor(nowMillis() / partMillis);
    const usage = usages.get(service) ?? createUsage(part);
    usages.set(service, usage);
    advance(usage, part);
    return usage;
  };

  const allowedCount = (usage: Usage): number => {
    const bound = options.bound();
    const own = bound.ratio * sum(usage.requests);
    const slack = bound.slackCount / Math.max(1, options.nodesCount());
    return (own + slack) * SPENT_RATIO;
  };

  const fits = (service: string, count: number): boolean => {
    const usage = usageOf(service);
    return sum(usage.repeats) + count <= allowedCount(usage);
  };

  const record = (service: string, count: number): void => {
    const {requests, part} = usageOf(service);
    const index = part % PARTS_COUNT;
    requests[index] = (requests[index] ?? 0) + count;
  };

  const spend = (service: string, count: number): void => {
    const {repeats, part} = usageOf(service);
    const index = part % PARTS_COUNT;
    repeats[index] = (repeats[index] ?? 0) + count;
  };

  return {
    recordRequest: counts => {
      for (const [service, count] of counts) record(service, count);
    },
    take: counts => {
      for (const [service, count] of counts) spend(service, count);
    },
    tryTake: counts => {
      for (const [service, count] of counts) {
        if (!fits(service, count)) return false;
      }
      for (const [service, count] of counts) spend(service, count);
      return true;
    },
  };
}

function createUsage(part: number): Usage {
  return {
    requests: new Float64Array(PARTS_COUNT),
    repeats: new Float64Array(PARTS_COUNT),
    part,
  };
}

function advance(usage: Usage, part: number): void {
  const passedCount = Math.min(PARTS_COUNT, part - usage.part);
  for (let index = 1; index <= passedCount; index += 1) {
    const cleared = (usage.part + index) % PARTS_COUNT;
    usage.requests[cleared] = 0;
    usage.repeats[cleared] = 0;
  }
  usage.part = Math.max(usage.part, part);
}

function sum(values: Float64Array): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
