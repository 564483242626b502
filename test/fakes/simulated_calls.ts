/**
 * Requests on their way through a replayed fleet.
 */
import type {RetryGrant} from '../../src/process/retries/retry_grant.js';
import type {SimulatedRoute, ServiceCounts} from './fleet_load.js';

/** What a node tells about a request before its upstream works on it. */
export type StartResult = 'started' | 'rejected' | 'queue-full' | 'too-late';

/** How a call ended. */
export type CallResult = 'served' | 'refused' | 'failed';

/** A request of a client, shared by all calls made for it. */
export interface RootRequest {
  readonly id: string;
  readonly importance: number;
  readonly beganAtMillis: number;
  readonly grant: RetryGrant;
  readonly runs: Run[];
}

/** Work of one upstream for a request. */
export interface Run {
  readonly second: ServiceCounts;
  isServed: boolean;
}

/** A request for one upstream, for a client or another upstream. */
export interface Call {
  readonly root: RootRequest;
  readonly route: SimulatedRoute;
  readonly deadlineMillis: number;
  readonly startByMillis: number;
  /** What its like usually takes, as its sender knows. */
  readonly usualMillis?: number | undefined;
  readonly onEnd: (end: CallResult, calls: ReadonlyMap<string, number>) => void;
}

/** Counts the work done for a request that was served. */
export function countUsefulRuns(root: RootRequest): void {
  for (const {second, isServed} of root.runs) {
    if (isServed) second.usefulCount += 1;
  }
}
