/**
 * Admission of calls to the one upstream on this host.
 */
import type * as Effect from 'effect/Effect';

/** A call that asks to be executed. */
export interface AdmissionRequest {
  /** Position of the class in the policy; 0 is most important. */
  readonly classIndex: number;
  /** Monotonic time after which the answer is useless. */
  readonly deadlineMonotonicMillis: number;
}

/** How an admitted call ended, fed back into the concurrency limit. */
export interface PermitResult {
  /** Time the upstream took; undefined when it gave no complete answer. */
  readonly latencyMillis: number | undefined;
  /** Whether the upstream itself signalled overload. */
  readonly isOverload: boolean;
}

/** The right to execute one call; must be released exactly once. */
export interface Permit {
  release(result: PermitResult): void;
}

/**
 * - `shed`: less important than what the host has room for.
 * - `queue-full`: no place in the queue.
 * - `queue-timeout`: no slot came free in the time it could wait.
 * - `draining`: the host is leaving.
 * - `deadline-exceeded`: less time is left than the upstream takes at best.
 */
export type AdmissionRefusalReason =
  'shed' | 'queue-full' | 'queue-timeout' | 'draining' | 'deadline-exceeded';

/** Why a call was refused before execution. */
export interface AdmissionRefusal {
  readonly _tag: 'AdmissionRefusal';
  readonly reason: AdmissionRefusalReason;
  /** When to come back, already jittered and scaled with load. */
  readonly retryAfterMillis: number;
}

/** Load of this host, carried on every answer to the calling node. */
export interface HostLoad {
  readonly inFlightCount: number;
  readonly queuedCount: number;
  readonly limitCount: number;
  /**
   * Classes with an index at or above this are refused at present unless a
   * slot is free or about to be; equal to the number of classes when nothing
   * is refused, 0 when the host is draining.
   */
  readonly refusedFromClassIndex: number;
}

/** What the policy says about this host's upstream. */
export interface AdmissionConfig {
  readonly slotsCount: number;
  readonly queueCount: number;
  readonly queueWaitMillis: number;
  /** Reserved ratio of each class, most important first. */
  readonly reservedRatios: readonly number[];
  readonly retryAfterMinimumMillis: number;
  readonly retryAfterMaximumMillis: number;
}

/** Decides which calls the local upstream executes and when. */
export abstract class AdmissionController {
  /**
   * Waits for a permit. Interruption removes the call from the queue. The
   * refusal comes at once, never at the end of the deadline.
   */
  abstract admit(
    request: AdmissionRequest,
  ): Effect.Effect<Permit, AdmissionRefusal>;
  /** Applies a new policy version; calls in flight and queued stay. */
  abstract configure(config: AdmissionConfig): void;
  /** Refuses everything new from now on. */
  abstract startDraining(): void;
  /** Drops queued calls past their deadline, as after a process pause. */
  abstract dropExpired(): void;
  abstract load(): HostLoad;
}
