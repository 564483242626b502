/**
 * Report of a load run: goodput, outcomes, retries and latency by flow, and
 * goodput over time.
 */
import * as hdr from 'hdr-histogram-js';
import type {CallerResult} from './caller.js';
import type {LoadFlow} from './load_plan.js';

/** Latency of good requests, from their scheduled arrival. */
export interface LatencyReport {
  readonly p50Millis: number;
  readonly p95Millis: number;
  readonly p99Millis: number;
  readonly maxMillis: number;
}

/** Report of one flow. */
export interface FlowReport {
  readonly name: string;
  readonly className: string;
  readonly offeredCount: number;
  /** Requests with a complete, correct response within the caller's timeout. */
  readonly goodCount: number;
  readonly attemptsCount: number;
  /** Attempts by kind of result. */
  readonly attempts: Readonly<Record<CallerResult['kind'], number>>;
  /** Failed attempts by reported outcome. */
  readonly outcomes: Readonly<Record<string, number>>;
  /** Failed attempts by reported reason, or by status code if there is none. */
  readonly reasons: Readonly<Record<string, number>>;
  readonly retriesSpentCount: number;
  /** Highest number of retries reported for one attempt. */
  readonly retriesSpentMaximumCount: number;
  readonly latency: LatencyReport;
}

/** Counts of one time bucket. */
export interface LoadBucket {
  readonly startMillis: number;
  /** Arrivals by class. */
  readonly offered: Readonly<Record<string, number>>;
  /** Good responses by class, counted in the bucket of the response. */
  readonly good: Readonly<Record<string, number>>;
  /** Good responses by class, counted in the bucket of the arrival. */
  readonly goodByArrival: Readonly<Record<string, number>>;
}

/** Report of a whole run. */
export interface LoadReport {
  readonly startUnixMillis: number;
  readonly durationMillis: number;
  readonly flows: readonly FlowReport[];
  readonly buckets: readonly LoadBucket[];
  /** Arrivals dropped because too many requests were in progress. */
  readonly droppedCount: number;
  /** Largest delay of an arrival behind its schedule. */
  readonly arrivalLagMaximumMillis: number;
  /** Names of good requests; empty unless `areNamesKept` is set in the plan. */
  readonly goodNames: readonly string[];
}

/** Records the results of one flow. */
export interface FlowRecorder {
  recordOffered(): void;
  recordAttempt(result: CallerResult): void;
  recordGood(latencyMillis: number): void;
  report(): FlowReport;
}

const MICROS_PER_MILLI = 1000;

/** Creates an empty recorder. */
export function createFlowRecorder(flow: LoadFlow): FlowRecorder {
  const histogram = hdr.build({numberOfSignificantValueDigits: 3});
  const attempts = {answered: 0, wrong: 0, failed: 0, broken: 0};
  const outcomes: Record<string, number> = {};
  const reasons: Record<string, number> = {};
  let offeredCount = 0;
  let goodCount = 0;
  let attemptsCount = 0;
  let retriesSpentCount = 0;
  let retriesSpentMaximumCount = 0;
  const percentile = (percent: number): number =>
    histogram.getValueAtPercentile(percent) / MICROS_PER_MILLI;
  return {
    recordOffered: () => {
      offeredCount += 1;
    },
    recordAttempt: result => {
      attemptsCount += 1;
      attempts[result.kind] += 1;
      retriesSpentCount += result.retriesSpentCount;
      retriesSpentMaximumCount = Math.max(
        retriesSpentMaximumCount,
        result.retriesSpentCount,
      );
      if (result.kind !== 'failed') return;
      incrementCount(outcomes, result.outcome ?? 'upstream-answer');
      incrementCount(reasons, result.reason || String(result.statusCode));
    },
    recordGood: latencyMillis => {
      goodCount += 1;
      histogram.recordValue(Math.round(latencyMillis * MICROS_PER_MILLI));
    },
    report: () => ({
      name: flow.name,
      className: flow.className,
      offeredCount,
      goodCount,
      attemptsCount,
      attempts,
      outcomes,
      reasons,
      retriesSpentCount,
      retriesSpentMaximumCount,
      latency: {
        p50Millis: percentile(50),
        p95Millis: percentile(95),
        p99Millis: percentile(99),
        maxMillis: histogram.maxValue / MICROS_PER_MILLI,
      },
    }),
  };
}

/** A good response; times are relative to the start of the run. */
export interface GoodResponse {
  readonly className: string;
  readonly arrivedMillis: number;
  readonly respondedMillis: number;
}

/** Records arrivals and good responses over time. */
export interface BucketRecorder {
  recordOffered(elapsedMillis: number, className: string): void;
  recordGood(response: GoodResponse): void;
  report(): readonly LoadBucket[];
}

/** Creates a recorder with buckets of equal width. */
export function createBucketRecorder(bucketMillis: number): BucketRecorder {
  const buckets: {
    offered: Record<string, number>;
    good: Record<string, number>;
    goodByArrival: Record<string, number>;
  }[] = [];
  const bucketAt = (elapsedMillis: number) => {
    const index = Math.floor(elapsedMillis / bucketMillis);
    while (buckets.length <= index) buckets.push(createBucket());
    return buckets[index] ?? createBucket();
  };
  return {
    recordOffered: (elapsedMillis, className) => {
      incrementCount(bucketAt(elapsedMillis).offered, className);
    },
    recordGood: ({className, arrivedMillis, respondedMillis}) => {
      incrementCount(bucketAt(respondedMillis).good, className);
      incrementCount(bucketAt(arrivedMillis).goodByArrival, className);
    },
    report: () =>
      buckets.map((bucket, i) => ({startMillis: i * bucketMillis, ...bucket})),
  };
}

function createBucket() {
  return {offered: {}, good: {}, goodByArrival: {}};
}

function incrementCount(counts: Record<string, number>, name: string): void {
  counts[name] = (counts[name] ?? 0) + 1;
}
