/**
 * Temporary removal of hosts that fail, down to a floor of hosts that stay.
 */
import type {TimeSource} from '../base/time_source.js';
import type {EjectionPolicy} from '../version/policy.js';

/** Failures one silent attempt counts as. */
const SILENT_WEIGHT_COUNT = 3;

/** Longest ejection as a multiple of the first one. */
const MAX_EJECTION_FACTOR = 8;

/** Failure record of one host. */
export interface FailureRecord {
  consecutiveFailuresCount: number;
  ejectedUntilMillis: number;
  /** Ejections in a row without a success between them. */
  ejectionsCount: number;
}

/** Creates the record of a host that has not failed. */
export function createFailureRecord(): FailureRecord {
  return {
    consecutiveFailuresCount: 0,
    ejectedUntilMillis: Number.NEGATIVE_INFINITY,
    ejectionsCount: 0,
  };
}

/** Counts failures and decides on ejection. */
export abstract class OutlierEjection {
  abstract configure(policy: EjectionPolicy): void;
  abstract recordSuccess(record: FailureRecord): void;
  /** Notes that the host is alive, as by a refusal. */
  abstract recordSignOfLife(record: FailureRecord): void;
  /** Returns whether the host is ejected by this failure. */
  abstract recordFailure(record: FailureRecord, isSilent: boolean): boolean;
  abstract isEjected(record: FailureRecord): boolean;
  /** Whether the host has been ejected and has not shown life since. */
  abstract isOnProbation(record: FailureRecord): boolean;
  /** Hosts out of `hostCount` that stay in use whatever fails. */
  abstract floorCount(hostCount: number): number;
}

/** Creates the ejection rule under a policy. */
export function createOutlierEjection(
  time: TimeSource,
  initialPolicy: EjectionPolicy,
): OutlierEjection {
  let policy = initialPolicy;

  function eject(record: FailureRecord): void {
    const factor = Math.min(MAX_EJECTION_FACTOR, 2 ** record.ejectionsCount);
    record.ejectionsCount += 1;
    record.consecutiveFailuresCount = 0;
    record.ejectedUntilMillis =
      time.monotonicMillis() + policy.ejectionMillis * factor;
  }

  return new (class extends OutlierEjection {
    override configure(newPolicy: EjectionPolicy): void {
      policy = newPolicy;
    }
    override recordSuccess(record: FailureRecord): void {
      record.consecutiveFailuresCount = 0;
      record.ejectionsCount = 0;
    }
    override recordSignOfLife(record: FailureRecord): void {
      record.ejectionsCount = 0;
    }
    override recordFailure(record: FailureRecord, isSilent: boolean): boolean {
      // Late failures of attempts sent before the ejection do not prolong it.
      if (this.isEjected(record)) return false;
      record.consecutiveFailuresCount += isSilent ? SILENT_WEIGHT_COUNT : 1;
      const isOut =
        record.consecutiveFailuresCount >= policy.consecutiveFailuresCount;
      if (!isOut && !this.isOnProbation(record)) return false;
      eject(record);
      return true;
    }
    override isEjected(record: FailureRecord): boolean {
      return record.ejectedUntilMillis > time.monotonicMillis();
    }
    override isOnProbation(record: FailureRecord): boolean {
      return record.ejectionsCount > 0 && !this.isEjected(record);
    }
    override floorCount(hostCount: number): number {
      return Math.max(1, Math.ceil(hostCount * policy.floorRatio));
    }
  })();
}
