/**
 * Counters and gauges of the process, kept in memory and sent to StatsD.
 */
import type {Disposable} from '../base/lifecycle.js';

/** Tags of one sample; values come from small fixed sets. */
export type MetricTags = Readonly<Record<string, string>>;

/** One counter with its tags, as reported in totals. */
export interface MetricTotal {
  readonly name: string;
  readonly tags: MetricTags;
  readonly value: number;
}

/** Receives every sample the process produces. */
export abstract class Metrics implements Disposable {
  /** Adds to a counter. */
  abstract increment(name: string, tags?: MetricTags, by?: number): void;
  /** Sets a gauge. */
  abstract gauge(name: string, value: number, tags?: MetricTags): void;
  /** Records a duration in milliseconds. */
  abstract timing(name: string, valueMillis: number, tags?: MetricTags): void;
  /** Totals since the process started, ordered by name. */
  abstract totals(): readonly MetricTotal[];
  abstract dispose(): void;
}
