/**
 * A load on a fleet of nodes, and what is counted of it by second.
 */

/** A service and its upstreams, one for each speed. */
export interface SimulatedService {
  readonly name: string;
  readonly slotsCount: number;
  /** Work that an upstream does in a millisecond, by upstream. */
  readonly speeds: readonly number[];
  /** Share of what it is handed that an upstream rejects, by upstream. */
  readonly rejectRatios?: readonly number[];
  /** Since when they do; from the start if left out. */
  readonly rejectFromMillis?: number;
}

/** What requests of one route do. */
export interface SimulatedRoute {
  readonly name: string;
  readonly service: string;
  readonly rank: number;
  readonly workMillis: number;
  readonly timeoutMillis: number;
  readonly objectiveMillis: number;
  /** Routes that its upstream calls, one after the other. */
  readonly calls: readonly string[];
}

/** Clients of one route. */
export interface SimulatedClients {
  readonly route: string;
  readonly perSecond: number;
  /** Time that a client has for its request and one more try. */
  readonly totalTimeoutMillis: number;
}

/** A load on a fleet. */
export interface SimulationOptions {
  readonly services: readonly SimulatedService[];
  readonly routes: readonly SimulatedRoute[];
  readonly clients: readonly SimulatedClients[];
  readonly durationMillis: number;
  readonly seed: number;
}

/** What became of the requests that began in one second. */
export interface RouteCounts {
  sentCount: number;
  inTimeCount: number;
  lateCount: number;
  refusedCount: number;
  failedCount: number;
}

/** What a service worked on in one second. */
export interface ServiceCounts {
  runCount: number;
  /** Runs that ended well, and the request at the root of them too. */
  usefulCount: number;
}

/** Outcomes by second. */
export interface SimulationResult {
  readonly routes: ReadonlyMap<string, readonly RouteCounts[]>;
  readonly services: ReadonlyMap<string, readonly ServiceCounts[]>;
}

/** Sums what is counted by second, from a second on. */
export function sumSeconds<T extends {[K in keyof T]: number}>(
  seconds: readonly T[],
  from: number,
): T {
  const sum = {...seconds[0]!};
  for (const key of Object.keys(sum) as (keyof T)[]) {
    const total = seconds
      .slice(from)
      .reduce((count, second) => count + second[key], 0);
    sum[key] = total as T[keyof T];
  }
  return sum;
}

/** Nothing counted for each second. */
export function createRouteCounts(count: number): RouteCounts[] {
  return Array.from({length: count}, () => ({
    sentCount: 0,
    inTimeCount: 0,
    lateCount: 0,
    refusedCount: 0,
    failedCount: 0,
  }));
}

/** Nothing counted for each second. */
export function createServiceCounts(count: number): ServiceCounts[] {
  return Array.from({length: count}, () => ({runCount: 0, usefulCount: 0}));
}

/** Adds calls by service. */
export function addCounts(
  sums: Map<string, number>,
  counts: ReadonlyMap<string, number>,
): void {
  for (const [service, count] of counts) {
    sums.set(service, (sums.get(service) ?? 0) + count);
  }
}
