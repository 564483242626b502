/**
 * Metrics that only count, for tests to read.
 */
import type {MetricTags, MetricTotal} from '../../src/process/metrics.js';
import {Metrics} from '../../src/process/metrics.js';

/** Metrics whose counters a test can read. */
export abstract class CountingMetrics extends Metrics {
  /** Sum of a counter over all tags. */
  abstract countOf(name: string): number;
}

/** Creates metrics without samples. */
export function createCountingMetrics(): CountingMetrics {
  const totals = new Map<string, MetricTotal>();
  return new (class extends CountingMetrics {
    override increment(name: string, tags: MetricTags = {}, by = 1): void {
      const key = name + JSON.stringify(tags);
      const value = (totals.get(key)?.value ?? 0) + by;
      totals.set(key, {name, tags, value});
    }
    override gauge(): void {}
    override timing(): void {}
    override totals(): readonly MetricTotal[] {
      return [...totals.values()];
    }
    override countOf(name: string): number {
      return [...totals.values()]
        .filter(total => total.name === name)
        .reduce((sum, total) => sum + total.value, 0);
    }
    override dispose(): void {}
  })();
}
