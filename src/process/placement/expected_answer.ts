/**
 * When an upstream is expected to answer, by its load and its start.
 */
import type {LoadReport} from '../admission/load_table.js';
import type {KnownUpstream} from '../membership/known_upstream.js';

/** A cold upstream is taken to need this many times its usual time. */
const COLD_FACTOR = 2;

/** Above this share of slots in use, delay grows before a queue shows. */
const BUSY_RATIO = 0.7;

/**
 * Weight of a wait against time at work: who waits keeps all behind waiting, so
 * a slow upstream with a free slot comes before a fast one with a queue. At
 * equal weight a service with upstreams of half the usual speed queues at the
 * others before it uses an eighth of its slots.
 */
const WAIT_WEIGHT = 4;

/** An upstream as it looks now. */
export interface UpstreamSnapshot {
  readonly upstream: KnownUpstream;
  /** Requests of this node that are there now. */
  readonly ownInFlightCount: number;
  readonly report: LoadReport | undefined;
  /** Mean time for which one of all its requests holds a slot. */
  readonly averageMillis: number;
  /** Time that the request itself would take there. */
  readonly requestMillis: number;
  readonly now: number;
}

/** Time after which an upstream is expected to answer a request sent now. */
export function expectedAnswerMillis(expected: UpstreamSnapshot): number {
  const {upstream, averageMillis, requestMillis, now} = expected;
  const cold = upstream.coldUntilMillis > now ? COLD_FACTOR : 1;
  const average = averageMillis * cold;
  const ratio = busyRatioOf(expected);
  const waitMillis = Math.max(0, ratio - 1) * average * WAIT_WEIGHT;
  const busyMillis = Math.max(0, Math.min(1, ratio) - BUSY_RATIO) * average;
  return requestMillis * cold + waitMillis + busyMillis;
}

/** Requests there, as a share of its slots; above 1 some wait. */
export function busyRatioOf(expected: UpstreamSnapshot): number {
  const {upstream, ownInFlightCount, report} = expected;
  const limit = Math.max(1, report?.limitCount ?? upstream.entry.slotsCount);
  const reported = (report?.inFlightCount ?? 0) + (report?.queuedCount ?? 0);
  return Math.max(reported, ownInFlightCount) / limit;
}
