/**
 * Choice of the host that gets the next attempt.
 */
import type {HostLoad} from './admission_controller.js';
import type {KnownHost} from './fleet_view.js';
import type {EjectionPolicy, TimingPolicy} from '../version/policy.js';

/** What an attempt needs. */
export interface SelectionRequest {
  readonly service: string;
  readonly classIndex: number;
  /** Whether an upstream has already worked on the request. */
  readonly isStarted: boolean;
  /** Hosts this call has tried already. */
  readonly triedHostNames: ReadonlySet<string>;
}

/** The outcome of a selection. */
export type Selection =
  | {readonly kind: 'selected'; readonly host: KnownHost}
  /** Every usable host reports that it refuses this class now. */
  | {readonly kind: 'all-refuse'; readonly retryAfterMillis: number}
  | {readonly kind: 'no-host'};

/** How an attempt ended, as far as routing is concerned. */
export type AttemptVerdict = 'success' | 'refused' | 'failed' | 'silent';

/** The end of an attempt. */
export interface AttemptEnd {
  readonly hostName: string;
  readonly classIndex: number;
  readonly verdict: AttemptVerdict;
  /** Load the host reported, if it did. */
  readonly load: HostLoad | undefined;
}

/** Per-host state for the state dump. */
export interface HostRoutingState {
  readonly hostName: string;
  readonly outstandingCount: number;
  readonly load: HostLoad | undefined;
  readonly isEjected: boolean;
}

/** Picks hosts by load, availability zone and recent failures. */
export abstract class HostSelector {
  abstract configure(ejection: EjectionPolicy, timing: TimingPolicy): void;
  abstract select(request: SelectionRequest): Selection;
  /** Notes an attempt sent to a host. */
  abstract recordStart(hostName: string): void;
  /** Notes its end; once for each start. */
  abstract recordEnd(end: AttemptEnd): void;
  abstract states(): readonly HostRoutingState[];
}
