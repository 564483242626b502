/**
 * Program that runs an emulated upstream.
 */
import {readFile} from 'node:fs/promises';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {
  printReadyLine,
  exitOnSignal,
  exitWithError,
} from './process_support.js';
import {createEmulatedUpstream} from './emulated_upstream.js';
import type {UpstreamConfig} from './upstream_config.js';

async function main(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .option('config', {
      type: 'string',
      demandOption: true,
      describe: 'JSON file, see UpstreamConfig',
    })
    .strict()
    .parseAsync();
  const text = await readFile(args.config, 'utf8');
  const upstream = await createEmulatedUpstream(
    JSON.parse(text) as UpstreamConfig,
  );
  exitOnSignal(upstream.close);
  printReadyLine({port: upstream.port, control: upstream.controlPort});
}

main().catch(exitWithError);
