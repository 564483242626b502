/**
 * Latest load report of each upstream, from the local upstream or in the
 * responses of other nodes.
 */
import type {LoadFields, RejectionFields} from '../../protocol/hop_messages.js';
import {LEAST_IMPORTANT} from './importance.js';
import {isRejecting} from './rejection_rate.js';

/** Load of one upstream as reported by its node. */
export interface LoadReport extends Omit<LoadFields, 'ageMillis'> {
  /** Time of the report on this node's clock. */
  readonly madeAtMillis: number;
}

/** Load reports by upstream. */
export interface LoadTable {
  observe(report: LoadReport): void;
  find(upstreamId: string): LoadReport | undefined;
  /**
   * Level of a service: half of its capacity has this level or a higher one.
   */
  levelOf(service: string): number;
  /**
   * Load of a service over all upstreams that reported; `undefined` without
   * reports.
   */
  serviceLoadOf(service: string): ServiceLoad | undefined;
  /**
   * Time of the newest report of a service, except for one upstream;
   * `-Infinity` without reports.
   */
  lastReportMillis(service: string, exceptId?: string): number;
  /** Fresh reports of services that shed or reject requests, newest first. */
  shedding(): readonly LoadReport[];
  /**
   * Drops the reports of an upstream that has restarted: the load of its
   * previous start would keep requests away from it, or attract them.
   */
  discardReports(upstreamId: string): void;
  /** Removes outdated reports. */
  expire(): void;
}

/** Aggregated load of a service. */
export interface ServiceLoad {
  /** Mean time for which a slot is held. */
  readonly averageMillis: number;
  /** Time in which its upstreams would process the queued requests. */
  readonly backlogMillis: number;
  /** Requests that its upstreams can process per second. */
  readonly capacityPerSecond: number;
  readonly level: number;
  /** Share of its slots in use. */
  readonly busyRatio: number;
  /** Whether some of its upstreams reject part of their requests. */
  readonly isRejecting: boolean;
}

/** Age up to which a report is used unchanged. */
const FRESH_MILLIS = 1000;

/**
 * Time in which the level of an outdated report rises until it admits
 * everything.
 */
const LEVEL_RELAX_MILLIS = 2000;

/** Age from which reports are removed. */
const MAX_AGE_MILLIS = 10_000;

/** Time for which aggregated reports are cached, to keep the hot path cheap. */
const CACHE_MILLIS = 20;

const MILLIS_PER_SECOND = 1000;

/** Level of one upstream and its weight in its service. */
interface WeightedLevel {
  readonly level: number;
  readonly weight: number;
}

interface Summary {
  readonly load: ServiceLoad | undefined;
  readonly untilMillis: number;
}

/** Creates an empty table. */
export function createLoadTable(nowMillis: () => number): LoadTable {
  const reports = new Map<string, LoadReport>();
  const cache = new Map<string, Summary>();
  /** Restart times of upstreams; older reports belong to a previous start. */
  const restartMillis = new Map<string, number>();

  let shedding: readonly LoadReport[] = [];
  let sheddingUntilMillis = -Infinity;

  const summaryOf = (service: string): Summary => {
    const now = nowMillis();
    const cached = cache.get(service);
    if (cached && cached.untilMillis > now) return cached;
    const summary = summarize(reports.values(), service, now);
    cache.set(service, summary);
    return summary;
  };

  return {
    observe: report => {
      const {upstreamId, madeAtMillis} = report;
      const previous = reports.get(upstreamId);
      if (previous && previous.madeAtMillis >= madeAtMillis) return;
      if (madeAtMillis < (restartMillis.get(upstreamId) ?? -Infinity)) return;
      reports.set(upstreamId, report);
    },
    discardReports: upstreamId => {
      reports.delete(upstreamId);
      restartMillis.set(upstreamId, nowMillis());
    },
    find: upstreamId => reports.get(upstreamId),
    levelOf: service => summaryOf(service).load?.level ?? LEAST_IMPORTANT,
    serviceLoadOf: service => summaryOf(service).load,
    lastReportMillis: (service, exceptId) => {
      let newest = -Infinity;
      for (const report of reports.values()) {
        if (report.service !== service) continue;
        if (report.upstreamId === exceptId) continue;
        newest = Math.max(newest, report.madeAtMillis);
      }
      return newest;
    },
    shedding: () => {
      const now = nowMillis();
      if (now < sheddingUntilMillis) return shedding;
      sheddingUntilMillis = now + CACHE_MILLIS;
      shedding = sheddingReportsAmong(reports.values(), now);
      return shedding;
    },
    expire: () => {
      const since = nowMillis() - MAX_AGE_MILLIS;
      for (const [id, report] of reports) {
        if (report.madeAtMillis < since) reports.delete(id);
      }
      for (const [id, millis] of restartMillis) {
        if (millis < since) restartMillis.delete(id);
      }
    },
  };
}

function summarize(
  reports: Iterable<LoadReport>,
  service: string,
  now: number,
): Summary {
  const usable = [...reports].filter(
    report => report.service === service && report.limitCount > 0,
  );
  const untilMillis = now + CACHE_MILLIS;
  if (usable.length === 0) return {load: undefined, untilMillis};
  let weight = 0;
  let limitCount = 0;
  for (const report of usable) {
    weight += capacityOf(report);
    limitCount += report.limitCount;
  }
  const shareOf = shareRule(usable, now);
  const load = {
    averageMillis: limitCount / weight,
    capacityPerSecond: weight * MILLIS_PER_SECOND,
    backlogMillis: meanOf(usable, shareOf, backlogOf),
    busyRatio: meanOf(usable, shareOf, busyRatioOf),
    level: medianLevel(weightedLevelsOf(usable, now)),
    isRejecting: usable.some(report =>
      isRejecting(freshRejections(report, now)),
    ),
  };
  return {load, untilMillis};
}

/**
 * Returns the share of an upstream in the work of its service, relative to the
 * others.
 */
type ShareRule = (report: LoadReport) => number;

/**
 * By number of slots, or, if some upstreams reject requests and are avoided for
 * it, by arrival rate: the free slots of upstreams that receive no requests
 * would hide the queues of the others.
 */
function shareRule(reports: readonly LoadReport[], now: number): ShareRule {
  const areRejectionsKnown = reports.every(
    report => freshRejections(report, now) !== undefined,
  );
  if (!areRejectionsKnown) return ({limitCount}) => limitCount;
  return ({rejections}) => Math.max(1, rejections?.arrivedPerSecond ?? 0);
}

function meanOf(
  reports: readonly LoadReport[],
  shareOf: ShareRule,
  valueOf: (report: LoadReport) => number,
): number {
  let sum = 0;
  let weight = 0;
  for (const report of reports) {
    const share = shareOf(report);
    sum += share * valueOf(report);
    weight += share;
  }
  return sum / weight;
}

function backlogOf({
  queuedCount,
  averageMillis,
  limitCount,
}: LoadReport): number {
  return (queuedCount * averageMillis) / limitCount;
}

function busyRatioOf({inFlightCount, limitCount}: LoadReport): number {
  return inFlightCount / limitCount;
}

/** An upstream that responds faster has a larger share of the work. */
function capacityOf({limitCount, averageMillis}: LoadReport): number {
  return limitCount / Math.max(1, averageMillis);
}

/**
 * Upstreams with a fresh report determine the level. The others would raise it:
 * their levels rise with age, whatever the fresh reports contain.
 */
function weightedLevelsOf(
  reports: readonly LoadReport[],
  now: number,
): readonly WeightedLevel[] {
  const fresh = reports.filter(report => isFresh(report, now));
  return (fresh.length > 0 ? fresh : reports).map(report => ({
    level: currentLevel(report, now),
    weight: capacityOf(report),
  }));
}

function isFresh({madeAtMillis}: LoadReport, now: number): boolean {
  return madeAtMillis + FRESH_MILLIS >= now;
}

/**
 * The levels of a service's upstreams diverge. A mean would follow an upstream
 * that takes no part in the load and admits everything.
 */
function medianLevel(levels: readonly WeightedLevel[]): number {
  const sorted = [...levels].sort((a, b) => b.level - a.level);
  const weight = levels.reduce((total, part) => total + part.weight, 0);
  let sum = 0;
  for (const part of sorted) {
    sum += part.weight;
    if (sum >= weight / 2) return part.level;
  }
  return LEAST_IMPORTANT;
}

/**
 * Reports of services with an upstream that sheds or rejects requests, newest
 * first.
 */
function sheddingReportsAmong(
  reports: Iterable<LoadReport>,
  now: number,
): readonly LoadReport[] {
  const since = now - FRESH_MILLIS;
  const fresh = [...reports].filter(({madeAtMillis}) => madeAtMillis > since);
  const services = new Set(
    fresh.filter(isShedding).map(({service}) => service),
  );
  return fresh
    .filter(({service}) => services.has(service))
    .sort((a, b) => b.madeAtMillis - a.madeAtMillis);
}

function isShedding(report: LoadReport): boolean {
  return report.level < LEAST_IMPORTANT || report.rejections !== undefined;
}

/** The rejections in an outdated report no longer apply. */
function freshRejections(
  report: LoadReport,
  now: number,
): RejectionFields | undefined {
  return isFresh(report, now) ? report.rejections : undefined;
}

/**
 * Raises the level of an outdated report, which must not cause rejections after
 * the overload has ended.
 */
function currentLevel(report: LoadReport, now: number): number {
  const agedMillis = now - report.madeAtMillis - FRESH_MILLIS;
  if (agedMillis <= 0) return report.level;
  const relaxedRatio = Math.min(1, agedMillis / LEVEL_RELAX_MILLIS);
  return report.level + (LEAST_IMPORTANT - report.level) * relaxedRatio;
}
