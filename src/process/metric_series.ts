/**
 * Totals of all metric series, found without building a string per sample.
 */
import type {MetricTags} from './metrics.js';

/** Running totals of one name with one set of tags. */
export interface MetricSeries {
  readonly name: string;
  readonly tags: MetricTags;
  /** Sum of a counter or of timings, or the last value of a gauge. */
  value: number;
  /** Samples recorded. */
  samplesCount: number;
  maximum: number;
  /** `value` as of the last time it was forwarded; undefined before that. */
  forwardedValue: number | undefined;
}

/** All series of one kind of metric. */
export interface SeriesTable {
  /** The series of a sample; undefined when it is new and the table is full. */
  find(name: string, tags: MetricTags | undefined): MetricSeries | undefined;
  all(): Iterable<MetricSeries>;
}

/** Series over all tables of a process, against one bound. */
export interface SeriesQuota {
  remainingCount: number;
}

/**
 * Series reached by walking from the name over each tag in the order given.
 * Two orders of the same tags reach the same series by two ways.
 */
interface SeriesNode {
  series: MetricSeries | undefined;
  next: Map<string, Map<string, SeriesNode>> | undefined;
}

/** Ways kept for each series; more only come from unusual orders of tags. */
const NODES_PER_SERIES_COUNT = 4;

/** Creates a table that takes its series from a shared quota. */
export function createSeriesTable(quota: SeriesQuota): SeriesTable {
  const roots = new Map<string, SeriesNode>();
  const seriesByKey = new Map<string, MetricSeries>();
  let remainingNodesCount = quota.remainingCount * NODES_PER_SERIES_COUNT;

  const obtainSeries = (
    name: string,
    tags: MetricTags,
  ): MetricSeries | undefined => {
    const key = seriesKey(name, tags);
    const known = seriesByKey.get(key);
    if (known !== undefined) return known;
    if (quota.remainingCount <= 0) return undefined;
    quota.remainingCount -= 1;
    const series = createSeries(name, tags);
    seriesByKey.set(key, series);
    return series;
  };

  const addWay = (
    name: string,
    tags: MetricTags,
    series: MetricSeries,
  ): void => {
    const wantedCount = 1 + Object.keys(tags).length;
    // Tag values from outside would otherwise grow the ways without a bound
    // while the number of series stays within its own.
    if (remainingNodesCount < wantedCount) return;
    remainingNodesCount -= wantedCount;
    let node = obtain(roots, name, createNode);
    for (const [tag, value] of Object.entries(tags)) {
      node.next ??= new Map();
      node = obtain(obtain(node.next, tag, createNodes), value, createNode);
    }
    node.series = series;
  };

  return {
    find: (name, tags) => {
      const reached = walk(roots.get(name), tags)?.series;
      if (reached !== undefined) return reached;
      const series = obtainSeries(name, tags ?? {});
      if (series !== undefined) addWay(name, tags ?? {}, series);
      return series;
    },
    all: () => seriesByKey.values(),
  };
}

function walk(
  root: SeriesNode | undefined,
  tags: MetricTags | undefined,
): SeriesNode | undefined {
  let node = root;
  for (const tag in tags) {
    if (node === undefined) return undefined;
    node = node.next?.get(tag)?.get(tags[tag] ?? '');
  }
  return node;
}

function obtain<V>(map: Map<string, V>, key: string, create: () => V): V {
  let value = map.get(key);
  if (value === undefined) {
    value = create();
    map.set(key, value);
  }
  return value;
}

function createNode(): SeriesNode {
  return {series: undefined, next: undefined};
}

function createNodes(): Map<string, SeriesNode> {
  return new Map();
}

function createSeries(name: string, tags: MetricTags): MetricSeries {
  return {
    name,
    tags: {...tags},
    value: 0,
    samplesCount: 0,
    maximum: 0,
    forwardedValue: undefined,
  };
}

function seriesKey(name: string, tags: MetricTags): string {
  const names = Object.keys(tags).sort();
  return JSON.stringify([name, ...names.map(tag => [tag, tags[tag]])]);
}
