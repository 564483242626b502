/**
 * What this node has heard about the load of upstreams, its own or from the
 * answers of other nodes; the newest report of each upstream counts.
 */
import type {LoadFields, RejectionFields} from '../../protocol/hop_messages.js';
import {LEAST_IMPORTANT} from './importance.js';
import {isRejecting} from './rejection_rate.js';

/** Load of one upstream as its node reported it. */
export interface LoadReport extends Omit<LoadFields, 'ageMillis'> {
  /** When the report was made, on this node's clock. */
  readonly madeAtMillis: number;
}

/** Board of reports. */
export interface LoadTable {
  observe(report: LoadReport): void;
  find(upstreamId: string): LoadReport | undefined;
  /** Level of a service: half of its capacity has this one or a higher one. */
  levelOf(service: string): number;
  /** Load of a service over all upstreams that reported; if there are any. */
  serviceLoadOf(service: string): ServiceLoad | undefined;
  /**
   * When the newest report of a service was made, other than of one upstream;
   * `-Infinity` without any.
   */
  lastReportMillis(service: string, exceptId?: string): number;
  /** Fresh reports of services that shed or reject, the newest first. */
  shedding(): readonly LoadReport[];
  /**
   * Drops what was reported of an upstream so far, which has started again: the
   * load of its start before would keep requests away from it, or draw them.
   */
  discardReports(upstreamId: string): void;
  /** Forgets what has aged. */
  expire(): void;
}

/** Load of a service. */
export interface ServiceLoad {
  /** Mean time for which an upstream holds a slot. */
  readonly averageMillis: number;
  /** Time in which its upstreams would work off what waits. */
  readonly backlogMillis: number;
  readonly level: number;
  /** Share of its slots in use. */
  readonly busyRatio: number;
  /** Some of its upstreams reject part of what they are handed. */
  readonly isRejecting: boolean;
}

/** A report stands for this long. */
const FRESH_MILLIS = 1000;

/** Time in which an aged level rises to let everything in again. */
const RELAX_MILLIS = 2000;

/** Reports beyond this age are dropped. */
const FORGET_MILLIS = 10_000;

/** How long what is summed up of reports is reused, to spare the hot path. */
const CACHE_MILLIS = 20;

/** One upstream's part in its service. */
interface Part {
  readonly level: number;
  readonly weight: number;
}

interface Summary {
  readonly load: ServiceLoad | undefined;
  readonly untilMillis: number;
}

/** Creates an empty board. */
export function createLoadTable(nowMillis: () => number): LoadTable {
  const reports = new Map<string, LoadReport>();
  const cache = new Map<string, Summary>();
  /** Reports from before this time are of an earlier start. */
  const startedMillis = new Map<string, number>();

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
      const before = reports.get(upstreamId);
      if (before && before.madeAtMillis >= madeAtMillis) return;
      if (madeAtMillis < (startedMillis.get(upstreamId) ?? -Infinity)) return;
      reports.set(upstreamId, report);
    },
    discardReports: upstreamId => {
      reports.delete(upstreamId);
      startedMillis.set(upstreamId, nowMillis());
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
      shedding = sheddingAmong(reports.values(), now);
      return shedding;
    },
    expire: () => {
      const since = nowMillis() - FORGET_MILLIS;
      for (const [id, report] of reports) {
        if (report.madeAtMillis < since) reports.delete(id);
      }
      for (const [id, millis] of startedMillis) {
        if (millis < since) startedMillis.delete(id);
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
    backlogMillis: meanOf(usable, shareOf, backlogOf),
    busyRatio: meanOf(usable, shareOf, busyRatioOf),
    level: medianLevel(partsOf(usable, now)),
    isRejecting: usable.some(report => isRejecting(rejectionsNow(report, now))),
  };
  return {load, untilMillis};
}

/** Share of an upstream in the work of its service, relative to the others. */
type ShareRule = (report: LoadReport) => number;

/**
 * By slots; where some reject and are avoided for it, by what is sent to each:
 * the free slots of those that get no requests would hide the queue of the others.
 */
function shareRule(reports: readonly LoadReport[], now: number): ShareRule {
  const isKnown = reports.every(
    report => rejectionsNow(report, now) !== undefined,
  );
  if (!isKnown) return ({limitCount}) => limitCount;
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

/** An upstream that answers faster takes a larger share of the work. */
function capacityOf({limitCount, averageMillis}: LoadReport): number {
  return limitCount / Math.max(1, averageMillis);
}

/**
 * Upstreams that were heard of lately set the level. Those that were not would
 * raise it: their levels relax with age, whatever the others report.
 */
function partsOf(reports: readonly LoadReport[], now: number): readonly Part[] {
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
 * The upstreams of a service move their levels apart from each other. A mean
 * would follow the one that has no part in the load and lets everything in.
 */
function medianLevel(parts: readonly Part[]): number {
  const sorted = [...parts].sort((a, b) => b.level - a.level);
  const weight = parts.reduce((total, part) => total + part.weight, 0);
  let sum = 0;
  for (const part of sorted) {
    sum += part.weight;
    if (sum >= weight / 2) return part.level;
  }
  return LEAST_IMPORTANT;
}

/** Reports of services of which one sheds or rejects, the newest first. */
function sheddingAmong(
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

/** What was rejected before an old report says nothing about now. */
function rejectionsNow(
  report: LoadReport,
  now: number,
): RejectionFields | undefined {
  return isFresh(report, now) ? report.rejections : undefined;
}

/** An old report must not keep requests out after its cause has gone. */
function currentLevel(report: LoadReport, now: number): number {
  const agedMillis = now - report.madeAtMillis - FRESH_MILLIS;
  if (agedMillis <= 0) return report.level;
  const relaxed = Math.min(1, agedMillis / RELAX_MILLIS);
  return report.level + (LEAST_IMPORTANT - report.level) * relaxed;
}
