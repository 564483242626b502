/**
 * Requests in flight in a simulated fleet.
 */
import type {RetryGrant} from '../../src/process/retries/retry_grant.js';
import type {SimulatedRoute, ServiceCounts} from './fleet_load.js';

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
