/**
 * Requests in flight in a simulated fleet.
 */
import type {RetryGrant} from '../../src/process/retries/retry_grant.js';
import {importanceOf} from '../../src/process/admission/importance.js';
import {createRetryGrant} from '../../src/process/retries/shared_retry_grant.js';
import {DEFAULT_RETRIES_COUNT} from '../../src/version/route_configuration.js';
import type {SeededRandom} from '../../src/emulator/seeded_random.js';
import type {SimulatedRoute, ServiceCounts} from './fleet_load.js';

/** Sigma of the log-normal distribution of the work of requests. */
const WORK_SIGMA = 0.5;

/**
 * Range of the time until a client retries a rejected request, relative to the latency
 * objective; as in the daemon.
 */
const RETRY_DELAY_MINIMUM_RATIO = 0.2;
const RETRY_DELAY_MAXIMUM_RATIO = 0.7;

/** Whether the upstream started a request, or why it did not. */
export type StartResult = 'started' | 'rejected' | 'queue-full' | 'too-late';

export type CallResult = 'served' | 'refused' | 'failed';

/** Client request that is shared by all calls made for it. */
export interface RootRequest {
  readonly id: string;
  readonly importance: number;
  readonly beganAtMillis: number;
  readonly grant: RetryGrant;
  readonly runs: Run[];
}

/** Execution of one call at an upstream. */
export interface Run {
  readonly second: ServiceCounts;
  isServed: boolean;
}

/** Call of a client or of an upstream. */
export interface Call {
  readonly root: RootRequest;
  readonly route: SimulatedRoute;
  readonly deadlineMillis: number;
  readonly startByMillis: number;
  /** Usual response time of the route, as measured by the sender. */
  readonly usualMillis?: number | undefined;
  readonly onEnd: (end: CallResult, calls: ReadonlyMap<string, number>) => void;
}

/** Counts the successful runs of a request that was served as useful. */
export function countUsefulRuns(root: RootRequest): void {
  for (const {second, isServed} of root.runs) {
    if (isServed) second.usefulCount += 1;
  }
}

/** Creates the request of a client's attempt. */
export function createRootRequest(
  id: string,
  {rank}: SimulatedRoute,
  beganAtMillis: number,
): RootRequest {
  return {
    id,
    importance: importanceOf(rank, id),
    beganAtMillis,
    grant: createRetryGrant(DEFAULT_RETRIES_COUNT),
    runs: [],
  };
}

/** Work of one run of a route. */
export function sampleWorkMillis(
  random: SeededRandom,
  {workMillis}: SimulatedRoute,
): number {
  const medianMillis = workMillis * Math.exp(-(WORK_SIGMA ** 2) / 2);
  return random.logNormal(medianMillis, WORK_SIGMA);
}

/** Time until a client retries a request that was rejected. */
export function sampleRetryDelayMillis(
  random: SeededRandom,
  {objectiveMillis}: SimulatedRoute,
): number {
  const width = RETRY_DELAY_MAXIMUM_RATIO - RETRY_DELAY_MINIMUM_RATIO;
  return objectiveMillis * (RETRY_DELAY_MINIMUM_RATIO + width * random.next());
}
