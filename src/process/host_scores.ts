/**
 * What this node knows of the load of each host it has called.
 */
import type {TimeSource} from '../base/time_source.js';
import type {HostLoad} from './admission_controller.js';
import type {KnownHost} from './fleet_view.js';
import type {FailureRecord} from './outlier_ejection.js';
import {createFailureRecord} from './outlier_ejection.js';

/** Age from which on a load report says nothing any more. */
export const REPORT_LIFE_MILLIS = 1_000;

/** Share of traffic a host gets that has only just started. */
const COLD_SHARE_RATIO = 0.1;

/** Routing state of one host. */
export interface HostRecord {
  outstandingCount: number;
  load: HostLoad | undefined;
  reportedMillis: number;
  /** Own outstanding calls at the time of the report. */
  outstandingAtReportCount: number;
  /** When a call was last sent although the host had refused its class. */
  probedMillis: number;
  readonly failures: FailureRecord;
}

/** Creates the record of a host not called yet. */
export function createHostRecord(): HostRecord {
  return {
    outstandingCount: 0,
    load: undefined,
    reportedMillis: Number.NEGATIVE_INFINITY,
    outstandingAtReportCount: 0,
    probedMillis: Number.NEGATIVE_INFINITY,
    failures: createFailureRecord(),
  };
}

/** Whether the host refuses the class by a report that still counts. */
export function isRefusing(
  record: HostRecord,
  classIndex: number,
  nowMillis: number,
): boolean {
  if (record.load === undefined) return false;
  if (classIndex < record.load.refusedFromClassIndex) return false;
  // One call at a time finds out whether an aged refusal still stands.
  const heardMillis = Math.max(record.reportedMillis, record.probedMillis);
  return nowMillis - heardMillis < REPORT_LIFE_MILLIS;
}

/**
 * Share of the host's limit in use, 0 and up; may exceed 1. Calls of this node
 * count as known, those of others as reported, less with age: a busy report
 * would otherwise keep every call away that could replace it.
 */
export function loadScore(
  record: HostRecord,
  fallbackLimitCount: number,
  nowMillis: number,
): number {
  const ownCount = record.outstandingCount;
  const {load} = record;
  if (load === undefined) return ownCount / fallbackLimitCount;
  const reportedCount = load.inFlightCount + load.queuedCount;
  const othersCount = Math.max(
    0,
    reportedCount - record.outstandingAtReportCount,
  );
  const ageRatio = (nowMillis - record.reportedMillis) / REPORT_LIFE_MILLIS;
  const weight = Math.max(0, 1 - ageRatio);
  return (ownCount + othersCount * weight) / Math.max(1, load.limitCount);
}

/** Share of traffic, 0.1 to 1, a host gets by its time since its start. */
export function warmShareRatio(
  known: KnownHost,
  slowStartMillis: number,
  time: TimeSource,
): number {
  if (known.status === undefined || slowStartMillis <= 0) return 1;
  const ageMillis = time.wallMillis() - known.status.incarnationMillis;
  // A start in the future tells of a wrong clock, not of a cold host.
  if (ageMillis < -slowStartMillis) return 1;
  const ratio = Math.max(0, ageMillis) / slowStartMillis;
  return Math.min(1, COLD_SHARE_RATIO + (1 - COLD_SHARE_RATIO) * ratio);
}
