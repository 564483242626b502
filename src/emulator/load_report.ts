/**
 * Figures of a load run: goodput, outcomes, retries and latency by flow and
 * over time.
 */
import * as hdr from 'hdr-histogram-js';
import type {CallerResult} from './caller.js';
import type {LoadFlow} from './load_plan.js';

/** Latency of good answers, in milliseconds. */
export interface LatencyReport {
  readonly p50Millis: number;
  readonly p95Millis: number;
  readonly p99Millis: number;
  readonly maxMillis: number;
}

/** Figures of one flow or class. */
export interface FlowReport {
  readonly name: string;
  readonly className: string;
  readonly offeredCount: number;
  /** Requests answered whole, correctly and within the caller's patience. */
  readonly goodCount: number;
  readonly attemptsCount: number;
  /** Attempts by how they ended. */
  readonly attempts: Readonly<Record<CallerResult['kind'], number>>;
  /** Failed attempts by the outcome told. */
  readonly outcomes: Readonly<Record<string, number>>;
  /** Failed attempts by reason. */
  readonly reasons: Readonly<Record<string, number>>;
  readonly retriesSpentCount: number;
  /** Most retries told for one attempt. */
  readonly retriesSpentMaximumCount: number;
  readonly latency: LatencyReport;
}

/** Requests that arrived within one step of time. */
export interface LoadBucket {
  readonly startMillis: number;
  /** Arrivals by class. */
  readonly offered: Readonly<Record<string, number>>;
  /** Good answers by class, counted where they came back. */
  readonly good: Readonly<Record<string, number>>;
  /** Good answers by class, counted where their requests arrived. */
  readonly goodByArrival: Readonly<Record<string, number>>;
}

/** The whole report. */
export interface LoadReport {
  readonly startUnixMillis: number;
  readonly durationMillis: number;
  readonly flows: readonly FlowReport[];
  readonly buckets: readonly LoadBucket[];
  /** Arrivals not sent because too many requests were in progress. */
  readonly droppedCount: number;
  /** Largest delay of an arrival against its schedule. */
  readonly arrivalLagMaximumMillis: number;
  /** Names of good requests, if the plan asks for them. */
  readonly goodNames: readonly string[];
}

/** Gathers the figures of one flow. */
export interface FlowRecorder {
  recordOffered(): void;
  recordAttempt(result: CallerResult): void;
  recordGood(latencyMillis: number): void;
  report(): FlowReport;
}

const MICROS_PER_MILLI = 1000;

/** Creates a recorder without figures. */
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

/** A good answer; times count from the start of the run. */
export interface GoodResponse {
  readonly className: string;
  readonly arrivedMillis: number;
  readonly respondedMillis: number;
}

/** Gathers arrivals and good answers over time. */
export interface BucketRecorder {
  recordOffered(elapsedMillis: number, className: string): void;
  recordGood(response: GoodResponse): void;
  report(): readonly LoadBucket[];
}

/** Creates a recorder with steps of equal width. */
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
