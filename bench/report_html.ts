/**
 * The goodput measurement as one HTML page with charts.
 */
import type {DeploymentFigures, GoodputReport} from './goodput_bench.js';
import type {GoodputFigures} from './goodput_figures.js';
import {BUCKET_MILLIS} from './goodput_run.js';
import {formatDeployment} from './goodput_table.js';
import {FULL_VARIANT, VARIANTS} from './goodput_variants.js';
import type {ChartLine, ChartSpan} from './report_chart.js';
import {drawChart, escapeText} from './report_chart.js';

const MILLIS_PER_SECOND = 1000;

/** Steps that one point of a line averages, itself and those before it. */
const SMOOTHED_STEPS_COUNT = 4;

const STYLE = `
body { font-family: sans-serif; margin: 24px; max-width: 1500px; color: #222; }
pre { overflow-x: auto; font-size: 12px; }
`;

/** Builds the page. */
export function buildReport(report: GoodputReport): string {
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8">',
    '<title>Goodput under overload</title>',
    `<style>${STYLE}</style></head><body>`,
    '<h1>Goodput under overload</h1>',
    `<p>${escapeText(report.story)}.</p>`,
    `<p>${escapeText(report.machine)}. Measured at ${escapeText(report.measuredAt)}. The share of the machine in use counts everything that ran on it.</p>`,
    ...report.deployments.map(describeDeployment),
    '</body></html>',
    '',
  ].join('\n');
}

function describeDeployment(figures: DeploymentFigures): string {
  const {deployment, bottleneck, times} = figures;
  const variants = figures.variants.map(each =>
    withoutTail(each, times.endMillis),
  );
  const span: ChartSpan = {
    name: 'trigger',
    fromSeconds: times.triggerStartMillis / MILLIS_PER_SECOND,
    toSeconds: times.triggerEndMillis / MILLIS_PER_SECOND,
  };
  const baselineNames = new Set(
    VARIANTS.filter(({isBaseline}) => isBaseline).map(({name}) => name),
  );
  const full = variants.filter(({variant}) => variant === FULL_VARIANT);
  const baselines = variants.filter(({variant}) => baselineNames.has(variant));
  const without = variants.filter(
    ({variant}) => variant !== FULL_VARIANT && !baselineNames.has(variant),
  );
  const toChart = (title: string, list: readonly GoodputFigures[]): string =>
    drawChart({
      title: `${deployment}: ${title}`,
      valueLabel: 'whole requests answered in time, 1/s',
      span,
      lines: list.map(goodputLine),
    });
  return [
    `<h2>${escapeText(deployment)}</h2>`,
    `<p>The upstreams of ${escapeText(bottleneck)} slow down.</p>`,
    toChart('goodput against baselines', [...full, ...baselines]),
    without.length === 0
      ? ''
      : toChart('goodput without single mechanisms', [...full, ...without]),
    ...full.map(each =>
      drawChart({
        title: `${deployment}: requests answered in time, by class (${each.variant})`,
        valueLabel: 'share of arrivals, %',
        span,
        lines: classLines(each),
      }),
    ),
    `<pre>${escapeText(formatDeployment('Figures', variants))}</pre>`,
  ].join('\n');
}

/** Leaves out the time after the last arrival, when answers only run out. */
function withoutTail(
  figures: GoodputFigures,
  endMillis: number,
): GoodputFigures {
  const buckets = figures.buckets.filter(
    ({startMillis}) => startMillis < endMillis,
  );
  return {...figures, buckets};
}

function goodputLine(figures: GoodputFigures): ChartLine {
  const perSecond = MILLIS_PER_SECOND / BUCKET_MILLIS;
  const values = figures.buckets.map(
    ({good}) => sum(Object.values(good)) * perSecond,
  );
  return {name: figures.variant, points: toPoints(smooth(values))};
}

function classLines(figures: GoodputFigures): readonly ChartLine[] {
  return figures.classes.map(({className}) => {
    const offered = smooth(
      figures.buckets.map(bucket => bucket.offered[className] ?? 0),
    );
    const good = smooth(
      figures.buckets.map(bucket => bucket.goodByArrival[className] ?? 0),
    );
    const shares = offered.map((count, i) =>
      count === 0 ? undefined : (100 * (good[i] ?? 0)) / count,
    );
    return {name: className, points: toPoints(shares)};
  });
}

/** Steps in which nothing arrived have no point. */
function toPoints(values: readonly (number | undefined)[]) {
  return values.flatMap((value, i) =>
    value === undefined
      ? []
      : [{seconds: ((i + 1) * BUCKET_MILLIS) / MILLIS_PER_SECOND, value}],
  );
}

function smooth(values: readonly number[]): readonly number[] {
  return values.map((_, i) => {
    const part = values.slice(Math.max(0, i + 1 - SMOOTHED_STEPS_COUNT), i + 1);
    return sum(part) / part.length;
  });
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
