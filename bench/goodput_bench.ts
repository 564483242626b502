/**
 * Measures goodput and recovery of whole requests on the scaled example
 * deployments, for the product, baselines and single mechanisms switched off.
 */
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

const DEPLOYMENTS: readonly ExampleName[] = ['ilorin', 'tunis'];

/** Figures of one deployment. */
export interface DeploymentFigures {
  readonly deployment: ExampleName;
  readonly bottleneck: string;
  readonly times: StoryTimes;
  readonly variants: readonly GoodputFigures[];
}

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
      const machine = describeMachine();
      return {
        text: formatAll(machine, deployments),
        figures: {machine, measuredAt, deployments},
      };
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

function formatAll(
  machine: string,
  deployments: readonly DeploymentFigures[],
): string {
  const story = `Trigger: demand times ${String(SURGE_FACTOR)}, service time of the bottleneck times ${String(SLOW_FACTOR)}, callers retry at once`;
  const tables = deployments.map(({deployment, bottleneck, variants}) =>
    formatDeployment(`${deployment}, bottleneck ${bottleneck}`, variants),
  );
  return [`Machine: ${machine}`, story, '', ...tables].join('\n');
}
