/**
 * Program: a stand-in upstream in a process of its own.
 */
import {readFile} from 'node:fs/promises';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {announceReady, exitOnSignal, failProcess} from './process_support.js';
import {createStandInUpstream} from './stand_in_upstream.js';
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
  const upstream = await createStandInUpstream(
    JSON.parse(text) as UpstreamConfig,
  );
  exitOnSignal(upstream.close);
  announceReady({port: upstream.port, control: upstream.controlPort});
}

main().catch(failProcess);
