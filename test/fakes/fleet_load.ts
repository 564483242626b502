/**
 * Input of a fleet simulation, and its results per second.
 */

/** A service with one upstream for each speed. */
export interface SimulatedService {
  readonly name: string;
  readonly slotsCount: number;
  /** Milliseconds of work that an upstream does in a millisecond, by upstream. */
  readonly speeds: readonly number[];
  /** Ratio of dispatched requests that an upstream rejects, by upstream. */
  readonly rejectRatios?: readonly number[];
  /** Time from which upstreams reject requests; the default is the start. */
  readonly rejectFromMillis?: number;
  /** Limits that upstreams announce, by upstream. */
  readonly limits?: readonly (AnnouncedPeriod | undefined)[];
}

/** Time in which an upstream announces a limit in its responses. */
export interface AnnouncedPeriod {
  readonly perSecond: number;
  readonly fromMillis: number;
  readonly untilMillis: number;
}

export interface SimulatedRoute {
  readonly name: string;
  readonly service: string;
  readonly rank: number;
  readonly workMillis: number;
  readonly timeoutMillis: number;
  readonly objectiveMillis: number;
  /** Routes that the upstream calls in sequence. */
  readonly calls: readonly string[];
}

export interface SimulatedClients {
  readonly route: string;
  readonly perSecond: number;
  /** Time until a client gives up, including one retry of its own. */
  readonly totalTimeoutMillis: number;
}

export interface SimulationOptions {
  readonly services: readonly SimulatedService[];
  readonly routes: readonly SimulatedRoute[];
  readonly clients: readonly SimulatedClients[];
  readonly durationMillis: number;
  readonly seed: number;
  /** Processor time of a node for one message; by default none. */
  readonly messageMillis?: number;
}

/** Results of the requests that clients first sent within one second. */
export interface RouteCounts {
  sentCount: number;
  inTimeCount: number;
  lateCount: number;
  refusedCount: number;
  failedCount: number;
}

/** Runs that the upstreams of a service started within one second. */
export interface ServiceCounts {
  runCount: number;
  /** Runs that succeeded as part of a client request that succeeded. */
  usefulCount: number;
}

/** Counts by name of the route or service, with one entry for each second. */
export interface SimulationResult {
  readonly routes: ReadonlyMap<string, readonly RouteCounts[]>;
  readonly services: ReadonlyMap<string, readonly ServiceCounts[]>;
  /** Times at which requests reached each upstream, by its id. */
  readonly arrivalMillis: ReadonlyMap<string, readonly number[]>;
}

/** Sums the counts of all seconds from `fromSecond` on. */
export function sumSeconds<T extends {[K in keyof T]: number}>(
  seconds: readonly T[],
  fromSecond: number,
): T {
  const sum = {...seconds[0]!};
  for (const key of Object.keys(sum) as (keyof T)[]) {
    const total = seconds
      .slice(fromSecond)
      .reduce((count, second) => count + second[key], 0);
    sum[key] = total as T[keyof T];
  }
  return sum;
}

/** Ratio of requests that were served, in time or late. */
export function servedShareOf(seconds: readonly RouteCounts[]): number {
  const {inTimeCount, lateCount, sentCount} = sumSeconds(seconds, 0);
  return (inTimeCount + lateCount) / sentCount;
}

/** Returns zero counts for so many seconds. */
export function createRouteCounts(count: number): RouteCounts[] {
  return Array.from({length: count}, () => ({
    sentCount: 0,
    inTimeCount: 0,
    lateCount: 0,
    refusedCount: 0,
    failedCount: 0,
  }));
}

/** Returns zero counts for so many seconds. */
export function createServiceCounts(count: number): ServiceCounts[] {
  return Array.from({length: count}, () => ({runCount: 0, usefulCount: 0}));
}

/** Adds counts by service to `sums`. */
export function addCounts(
  sums: Map<string, number>,
  counts: ReadonlyMap<string, number>,
): void {
  for (const [service, count] of counts) {
    sums.set(service, (sums.get(service) ?? 0) + count);
  }
}
