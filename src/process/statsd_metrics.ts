/**
 * Metrics kept as totals in memory and forwarded to StatsD when configured.
 */
import type {DisposableStore} from '../base/lifecycle.js';
import {createDisposableStore, createIntervalTimer} from '../base/lifecycle.js';
import type {MetricSeries, SeriesQuota, SeriesTable} from './metric_series.js';
import {createSeriesTable} from './metric_series.js';
import type {MetricTags, MetricTotal} from './metrics.js';
import {Metrics} from './metrics.js';
import type {MetricsSettings} from './settings.js';
import type {StatsdSender} from './statsd_sender.js';
import {createStatsdSender} from './statsd_sender.js';

/** Samples that were not recorded because their series would be one too many. */
export const DROPPED_SAMPLES_METRIC = 'metrics.samples_dropped';

/** Failures to send to the StatsD receiver. */
export const SEND_ERRORS_METRIC = 'metrics.send_errors';

/** How metrics are kept and forwarded. */
export interface MetricsOptions {
  /** StatsD receiver; metrics are only kept in memory when left out. */
  readonly settings?: MetricsSettings | undefined;
  /** Series over all names and tags; samples of further ones are counted. */
  readonly maxSeriesCount: number;
}

/** Series of this module, besides those of its users. */
const OWN_SERIES_COUNT = 2;

/** Time between two rounds of forwarding totals. */
const FORWARD_MILLIS = 1000;

interface Tables {
  readonly counters: SeriesTable;
  readonly gauges: SeriesTable;
  readonly timings: SeriesTable;
}

/** Creates metrics without samples. */
export function createMetrics(options: MetricsOptions): Metrics {
  const tables = createTables(options.maxSeriesCount + OWN_SERIES_COUNT);
  const dropped = tables.counters.find(DROPPED_SAMPLES_METRIC, undefined);
  const sendErrors = tables.counters.find(SEND_ERRORS_METRIC, undefined);
  const owned = createDisposableStore();
  const sender = options.settings
    ? createStatsdSender(options.settings, () => {
        addTo(sendErrors, 1);
      })
    : undefined;
  if (sender !== undefined) startForwarding(sender, tables, owned);

  return new (class extends Metrics {
    override increment(name: string, tags?: MetricTags, by = 1): void {
      const series = tables.counters.find(name, tags);
      if (series === undefined) addTo(dropped, 1);
      else series.value += by;
    }
    override gauge(name: string, value: number, tags?: MetricTags): void {
      const series = tables.gauges.find(name, tags);
      if (series === undefined) addTo(dropped, 1);
      else series.value = value;
    }
    override timing(
      name: string,
      valueMillis: number,
      tags?: MetricTags,
    ): void {
      const series = tables.timings.find(name, tags);
      if (series === undefined) {
        addTo(dropped, 1);
        return;
      }
      series.value += valueMillis;
      series.samplesCount += 1;
      series.maximum = Math.max(series.maximum, valueMillis);
      // Sent one by one, as only the receiver can form percentiles.
      sender?.timing(name, valueMillis, series.tags);
    }
    override totals(): readonly MetricTotal[] {
      return [...tableTotals(tables)].sort(compareTotals);
    }
    override dispose(): void {
      owned.dispose();
    }
  })();
}

function addTo(series: MetricSeries | undefined, by: number): void {
  if (series !== undefined) series.value += by;
}

function createTables(maxSeriesCount: number): Tables {
  const quota: SeriesQuota = {remainingCount: maxSeriesCount};
  return {
    counters: createSeriesTable(quota),
    gauges: createSeriesTable(quota),
    timings: createSeriesTable(quota),
  };
}

/**
 * Forwards the change of each total once per interval instead of each sample:
 * the receiver sums the same counts and the data path builds no message.
 */
function startForwarding(
  sender: StatsdSender,
  tables: Tables,
  owned: DisposableStore,
): void {
  owned.add(sender);
  owned.add({
    dispose: () => {
      forwardChanges(sender, tables);
    },
  });
  owned.add(
    createIntervalTimer(FORWARD_MILLIS, () => {
      forwardChanges(sender, tables);
    }),
  );
}

function forwardChanges(sender: StatsdSender, tables: Tables): void {
  for (const series of tables.counters.all()) {
    const by = series.value - (series.forwardedValue ?? 0);
    if (by !== 0) sender.count(series.name, by, series.tags);
    series.forwardedValue = series.value;
  }
  for (const series of tables.gauges.all()) {
    if (series.value === series.forwardedValue) continue;
    sender.gauge(series.name, series.value, series.tags);
    series.forwardedValue = series.value;
  }
  sender.flush();
}

function tableTotals(tables: Tables): readonly MetricTotal[] {
  return [
    ...[...tables.counters.all()].map(plainTotal),
    ...[...tables.gauges.all()].map(plainTotal),
    ...[...tables.timings.all()].flatMap(timingTotals),
  ];
}

function plainTotal(series: MetricSeries): MetricTotal {
  return total(series.name, series.value, series.tags);
}

function timingTotals(series: MetricSeries): readonly MetricTotal[] {
  const {name, tags, samplesCount, value, maximum} = series;
  return [
    total(`${name}.count`, samplesCount, tags),
    total(`${name}.sum_millis`, value, tags),
    total(`${name}.maximum_millis`, maximum, tags),
  ];
}

function total(
  name: string,
  value: number,
  tags: MetricTags = {},
): MetricTotal {
  return {name, tags, value};
}

function compareTotals(a: MetricTotal, b: MetricTotal): number {
  if (a.name !== b.name) return a.name < b.name ? -1 : 1;
  const [aTags, bTags] = [JSON.stringify(a.tags), JSON.stringify(b.tags)];
  if (aTags === bTags) return 0;
  return aTags < bTags ? -1 : 1;
}
