/**
 * Program: `npm run bench`, measurements on this machine.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {failProcess} from '../src/emulator/process_support.js';
import type {BenchCommand, BenchOptions} from './bench_command.js';
import {createCapacityBench} from './capacity_bench.js';
import {createGoodputBench} from './goodput_bench.js';
import {createLatencyBench} from './latency_bench.js';

/** In the order in which `all` runs them. */
const COMMANDS: readonly BenchCommand[] = [
  createLatencyBench(),
  createGoodputBench(),
  createCapacityBench(),
];

const DEPLOYMENTS = ['ilorin', 'tunis'] as const;
const DEFAULT_DIRECTORY = 'dist/bench-results';

async function main(): Promise<void> {
  const parser = yargs(hideBin(process.argv))
    .scriptName('npm run bench --')
    .usage('$0 [command]\n\nMeasures this build on this machine.')
    .option('quick', {
      type: 'boolean',
      default: false,
      describe: 'fewer samples and shorter phases',
    })
    .option('variant', {type: 'string', describe: 'only this variant'})
    .option('deployment', {
      choices: DEPLOYMENTS,
      describe: 'only this example deployment',
    })
    .option('report', {type: 'string', describe: 'HTML file to write'})
    .option('out', {
      type: 'string',
      default: DEFAULT_DIRECTORY,
      describe: 'directory for the figures as JSON',
    })
    .command(['all', '$0'], 'every measurement');
  for (const {name, description} of COMMANDS) parser.command(name, description);
  const argv = await parser.strict().help().parseAsync();
  const asked = String(argv._[0] ?? 'all');
  const options: BenchOptions = {
    isQuick: argv.quick,
    variant: argv.variant,
    deployment: argv.deployment,
    reportPath: argv.report,
    notify: line => process.stderr.write(`${line}\n`),
  };
  for (const command of COMMANDS) {
    if (asked !== 'all' && asked !== command.name) continue;
    await measure(command, options, argv.out);
  }
}

async function measure(
  command: BenchCommand,
  options: BenchOptions,
  directory: string,
): Promise<void> {
  const {text, figures} = await command.run(options);
  process.stdout.write(`${text}\n`);
  await mkdir(directory, {recursive: true});
  const path = join(directory, `${command.name}.json`);
  await writeFile(path, `${JSON.stringify(figures, undefined, 2)}\n`);
  process.stdout.write(`Figures written to ${path}\n`);
}

main().catch(failProcess);
