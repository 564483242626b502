/**
 * Requests on their way through a replayed fleet.
 */
import type {RetryGrant} from '../../src/process/retries/retry_grant.js';
import type {ReplayRoute, ServiceOutcome} from './fleet_load.js';

/** What a node tells about a request before its upstream works on it. */
export type Verdict = 'started' | 'rejected' | 'queue-full' | 'too-late';

/** How a call ended. */
export type CallEnd = 'served' | 'refused' | 'failed';

/** A request of a client, shared by all calls made for it. */
export interface Root {
  readonly id: string;
  readonly importance: number;
  readonly beganAtMillis: number;
  readonly grant: RetryGrant;
  readonly runs: Run[];
}

/** Work of one upstream for a request. */
export interface Run {
  readonly second: ServiceOutcome;
  isServed: boolean;
}

/** A request for one upstream, for a client or another upstream. */
export interface Call {
  readonly root: Root;
  readonly route: ReplayRoute;
  readonly deadlineMillis: number;
  readonly startByMillis: number;
  /** What its like usually takes, as its sender knows. */
  readonly usualMillis?: number | undefined;
  readonly onEnd: (end: CallEnd, calls: ReadonlyMap<string, number>) => void;
}

/** Counts the work done for a request that was served. */
export function creditRuns(root: Root): void {
  for (const {second, isServed} of root.runs) {
    if (isServed) second.usefulCount += 1;
  }
}
