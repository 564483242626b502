/**
 * Load generator program: runs a load plan and prints its report as one line of
 * JSON.
 */
import {readFile} from 'node:fs/promises';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {generateLoad} from './load_generator.js';
import type {LoadPlan} from './load_plan.js';
import {exitWithError} from './process_support.js';

async function main(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .option('plan', {
      type: 'string',
      demandOption: true,
      describe: 'JSON file, see LoadPlan',
    })
    .strict()
    .parseAsync();
  const plan = JSON.parse(await readFile(args.plan, 'utf8')) as LoadPlan;
  const controller = new AbortController();
  process.once('SIGTERM', () => {
    controller.abort();
  });
  const report = await generateLoad(plan, controller.signal);
  process.stdout.write(`${JSON.stringify(report)}\n`);
}

main().catch(exitWithError);
