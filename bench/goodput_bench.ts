/**
 * Measures goodput and recovery of whole requests on the scaled example
 * deployments, for the product, baselines and single mechanisms switched off.
 */
import {writeFile} from 'node:fs/promises';
import type {ExampleName} from '../src/emulator/example_deployment.js';
import type {BenchOptions, BenchResult} from './bench_command.js';
import {BenchCommand} from './bench_command.js';
import {createDeployment} from './goodput_deployments.js';
import type {GoodputFigures} from './goodput_figures.js';
import {computeFigures} from './goodput_figures.js';
import type {StoryTimes} from './goodput_run.js';
import {
  QUICK_STORY_TIMES,
  runStory,
  SLOW_FACTOR,
  STORY_TIMES,
  SURGE_FACTOR,
} from './goodput_run.js';
import {formatDeployment} from './goodput_table.js';
import {findVariants} from './goodput_variants.js';
import {describeMachine} from './process_usage.js';
import {buildReport} from './report_html.js';

const DEPLOYMENTS: readonly ExampleName[] = ['ilorin', 'tunis'];

/** Figures of one deployment. */
export interface DeploymentFigures {
  readonly deployment: ExampleName;
  readonly bottleneck: string;
  readonly times: StoryTimes;
  readonly variants: readonly GoodputFigures[];
}

/** Figures of the whole measurement. */
export interface GoodputReport {
  readonly machine: string;
  readonly measuredAt: string;
  /** What happens in every run. */
  readonly story: string;
  readonly deployments: readonly DeploymentFigures[];
}

const STORY = `Trigger: demand times ${String(SURGE_FACTOR)}, service time of the bottleneck times ${String(SLOW_FACTOR)}, callers retry at once`;

/** Creates the measurement. */
export function createGoodputBench(): BenchCommand {
  return new (class extends BenchCommand {
    override readonly name = 'goodput';
    override readonly description =
      'goodput and recovery under overload, against baselines';
    override async run(options: BenchOptions): Promise<BenchResult> {
      const measuredAt = new Date().toISOString();
      const deployments: DeploymentFigures[] = [];
      for (const name of DEPLOYMENTS) {
        if ((options.deployment ?? name) !== name) continue;
        deployments.push(await measureDeployment(name, options));
      }
      const report: GoodputReport = {
        machine: describeMachine(),
        measuredAt,
        story: STORY,
        deployments,
      };
      if (options.reportPath !== undefined) {
        await writeFile(options.reportPath, buildReport(report));
      }
      return {text: formatAll(report), figures: report};
    }
  })();
}

async function measureDeployment(
  name: ExampleName,
  options: BenchOptions,
): Promise<DeploymentFigures> {
  const deployment = await createDeployment(name);
  const times = options.isQuick ? QUICK_STORY_TIMES : STORY_TIMES;
  const variants: GoodputFigures[] = [];
  for (const variant of findVariants(options.variant)) {
    options.notify(`goodput: ${name}, ${variant.name}`);
    const run = await runStory(deployment, variant, times);
    variants.push(computeFigures(deployment, variant.name, run));
  }
  return {deployment: name, bottleneck: deployment.bottleneck, times, variants};
}

function formatAll(report: GoodputReport): string {
  const tables = report.deployments.map(({deployment, bottleneck, variants}) =>
    formatDeployment(`${deployment}, bottleneck ${bottleneck}`, variants),
  );
  return [`Machine: ${report.machine}`, report.story, '', ...tables].join('\n');
}
