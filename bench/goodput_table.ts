/**
 * The figures of all variants of one deployment as tables.
 */
import {formatTable} from '../src/emulator/text_table.js';
import type {ClassFigures, GoodputFigures} from './goodput_figures.js';

/** What the product is held to. */
export const TARGETS = {
  bottleneckRatio: 0.9,
  topClassRatio: 0.99,
  recoveryMillis: 2000,
  uselessRatio: 0.05,
} as const;

/** Formats the figures of one deployment. */
export function formatDeployment(
  title: string,
  list: readonly GoodputFigures[],
): string {
  return [
    title,
    '',
    formatTable(
      [
        'variant',
        'normal',
        'good/s',
        'of bottleneck',
        'top class',
        'recovery s',
        'useless work',
        'useless slot time',
        'retries mean/max',
        'runs of one call',
        'runs of one order',
        'node CPU max',
        'machine',
      ],
      list.map(rowOf),
    ),
    'Requests answered in time while the trigger lasts, by class, of those that arrived',
    '',
    formatTable(
      ['variant', ...(list[0]?.classes.map(({className}) => className) ?? [])],
      list.map(({variant, classes}) => [variant, ...classes.map(shareOf)]),
    ),
    ...list.slice(0, 1).map(formatVerdicts),
  ].join('\n');
}

function rowOf(figures: GoodputFigures): readonly string[] {
  const {work, retries, usage} = figures;
  return [
    figures.variant,
    percent(figures.steadyRatio),
    figures.triggerGoodPerSecond.toFixed(1),
    percent(figures.bottleneckRatio),
    percent(topClassRatio(figures)),
    seconds(figures.recoveryMillis),
    percent(work.uselessRatio),
    percent(work.uselessBottleneckRatio),
    `${retries.meanCount.toFixed(3)}/${String(retries.maximumCount)}`,
    String(work.executionsPerCallMaximumCount),
    String(work.executionsPerKeyMaximumCount),
    percent(usage.busiestNodeCoreRatio),
    percent(usage.machineBusyRatio),
  ];
}

/** The targets against the variant that comes first. */
function formatVerdicts(figures: GoodputFigures): string {
  const {work, recoveryMillis} = figures;
  const rows: readonly (readonly [string, string, boolean])[] = [
    [
      'goodput of what the bottleneck can serve, at least 90%',
      percent(figures.bottleneckRatio),
      figures.bottleneckRatio >= TARGETS.bottleneckRatio,
    ],
    [
      'top class answered in time, at least 99%',
      percent(topClassRatio(figures)),
      topClassRatio(figures) >= TARGETS.topClassRatio,
    ],
    [
      'recovery, at most 2 s',
      seconds(recoveryMillis),
      recoveryMillis !== undefined && recoveryMillis <= TARGETS.recoveryMillis,
    ],
    [
      'useless work, under 5%',
      percent(work.uselessRatio),
      work.uselessRatio < TARGETS.uselessRatio,
    ],
    [
      'executions of one order, at most 1',
      String(work.executionsPerKeyMaximumCount),
      work.executionsPerKeyMaximumCount <= 1,
    ],
  ];
  return formatTable(
    [`target for ${figures.variant}`, 'measured', 'verdict'],
    rows.map(([target, measured, isMet]) => [
      target,
      measured,
      isMet ? 'met' : 'MISSED',
    ]),
  );
}

function topClassRatio({classes}: GoodputFigures): number {
  const top = classes[0];
  return top === undefined ? 0 : top.goodCount / Math.max(1, top.offeredCount);
}

function shareOf({goodCount, offeredCount}: ClassFigures): string {
  const ratio = goodCount / Math.max(1, offeredCount);
  return `${percent(ratio)} of ${String(offeredCount)}`;
}

function seconds(millis: number | undefined): string {
  return millis === undefined ? 'not in run' : (millis / 1000).toFixed(2);
}

function percent(ratio: number): string {
  return `${(ratio * 100).toFixed(1)}%`;
}
