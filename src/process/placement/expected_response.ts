/** Estimates the response time of an upstream from its load and its start. */
import type {LoadReport} from '../admission/load_table.js';
import type {KnownUpstream} from '../membership/known_upstream.js';

/** A cold upstream is assumed to need this many times its usual time. */
const COLD_FACTOR = 2;

/** Share of slots in use above which latency grows before a queue builds up. */
const BUSY_RATIO = 0.7;

/**
 * Weight of waiting time relative to processing time: a waiting request delays
 * all requests behind it, so a slow upstream with a free slot is preferred to a
 * fast one with a queue. At equal weight, a service with upstreams of half the
 * usual speed queues at the others before it uses an eighth of its slots.
 */
const WAIT_WEIGHT = 4;

/** Current state of an upstream from which the response time is estimated. */
export interface UpstreamSnapshot {
  readonly upstream: KnownUpstream;
  /** Requests of this node that are in flight there. */
  readonly ownInFlightCount: number;
  readonly report: LoadReport | undefined;
  /** Mean time for which its requests hold a slot. */
  readonly averageMillis: number;
  /** Time that the request itself would take there. */
  readonly requestMillis: number;
  readonly now: number;
}

/**
 * Time in which an upstream is expected to respond to a request that is sent
 * now.
 */
export function expectedResponseMillis(snapshot: UpstreamSnapshot): number {
  const {upstream, averageMillis, requestMillis, now} = snapshot;
  const coldFactor = upstream.coldUntilMillis > now ? COLD_FACTOR : 1;
  const coldAverageMillis = averageMillis * coldFactor;
  const busyRatio = busyRatioOf(snapshot);
  const waitMillis =
    Math.max(0, busyRatio - 1) * coldAverageMillis * WAIT_WEIGHT;
  const busyMillis =
    Math.max(0, Math.min(1, busyRatio) - BUSY_RATIO) * coldAverageMillis;
  return requestMillis * coldFactor + waitMillis + busyMillis;
}

/**
 * Requests in flight and queued there relative to its slots; above 1, some
 * wait.
 */
export function busyRatioOf(snapshot: UpstreamSnapshot): number {
  const {upstream, ownInFlightCount, report} = snapshot;
  const limitCount = Math.max(
    1,
    report?.limitCount ?? upstream.entry.slotsCount,
  );
  const reportedCount =
    (report?.inFlightCount ?? 0) + (report?.queuedCount ?? 0);
  return Math.max(reportedCount, ownInFlightCount) / limitCount;
}
