/**
 * What this node has heard about the load of upstreams, its own or from the
 * answers of other nodes; the newest report of each upstream counts.
 */
import {LEAST_IMPORTANT} from './importance.js';

/** Load of one upstream as its node reported it. */
export interface LoadReport {
  readonly upstreamId: string;
  readonly service: string;
  readonly inFlightCount: number;
  readonly queuedCount: number;
  /** 0 while the upstream cannot be reached by its node. */
  readonly limitCount: number;
  readonly averageMillis: number;
  /** Least important value that it would like to receive. */
  readonly level: number;
  /** When the report was made, on this node's clock. */
  readonly madeAtMillis: number;
}

/** Board of reports. */
export interface LoadBoard {
  observe(report: LoadReport): void;
  find(upstreamId: string): LoadReport | undefined;
  /** Least important value that a service as a whole takes now. */
  levelOf(service: string): number;
  /** Fresh reports of upstreams that shed, the newest first. */
  shedding(): readonly LoadReport[];
  /** Forgets what has aged. */
  expire(): void;
}

/** A report stands for this long. */
const FRESH_MILLIS = 1000;

/** Time in which an aged level rises to let everything in again. */
const RELAX_MILLIS = 2000;

/** Reports beyond this age are dropped. */
const FORGET_MILLIS = 10_000;

/** How long a computed level of a service is reused, to spare the hot path. */
const CACHE_MILLIS = 20;

interface CachedLevel {
  readonly level: number;
  readonly untilMillis: number;
}

/** Creates an empty board. */
export function createLoadBoard(nowMillis: () => number): LoadBoard {
  const reports = new Map<string, LoadReport>();
  const cache = new Map<string, CachedLevel>();

  const compute = (service: string): number => {
    const now = nowMillis();
    let weighted = 0;
    let weight = 0;
    for (const report of reports.values()) {
      if (report.service !== service) continue;
      // An upstream that answers faster takes a larger share of the work.
      const share = report.limitCount / Math.max(1, report.averageMillis);
      weighted += share * currentLevel(report, now);
      weight += share;
    }
    return weight > 0 ? weighted / weight : LEAST_IMPORTANT;
  };

  return {
    observe: report => {
      const before = reports.get(report.upstreamId);
      if (before && before.madeAtMillis >= report.madeAtMillis) return;
      reports.set(report.upstreamId, report);
    },
    find: upstreamId => reports.get(upstreamId),
    levelOf: service => {
      const now = nowMillis();
      const cached = cache.get(service);
      if (cached && cached.untilMillis > now) return cached.level;
      const level = compute(service);
      cache.set(service, {level, untilMillis: now + CACHE_MILLIS});
      return level;
    },
    shedding: () => {
      const since = nowMillis() - FRESH_MILLIS;
      return [...reports.values()]
        .filter(report => isShedding(report) && report.madeAtMillis > since)
        .sort((a, b) => b.madeAtMillis - a.madeAtMillis);
    },
    expire: () => {
      const since = nowMillis() - FORGET_MILLIS;
      for (const [id, report] of reports) {
        if (report.madeAtMillis < since) reports.delete(id);
      }
    },
  };
}

function isShedding(report: LoadReport): boolean {
  return report.level < LEAST_IMPORTANT;
}

/** An old report must not keep requests out after its cause has gone. */
function currentLevel(report: LoadReport, now: number): number {
  const agedMillis = now - report.madeAtMillis - FRESH_MILLIS;
  if (agedMillis <= 0) return report.level;
  const relaxed = Math.min(1, agedMillis / RELAX_MILLIS);
  return report.level + (LEAST_IMPORTANT - report.level) * relaxed;
}
