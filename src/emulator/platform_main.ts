/**
 * Program that runs the emulated platform.
 */
import {readFile} from 'node:fs/promises';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import type {PlatformFrontOptions} from './emulated_platform.js';
import {createEmulatedPlatform} from './emulated_platform.js';
import {
  printReadyLine,
  exitOnSignal,
  exitWithError,
} from './process_support.js';

/** Parses `name=port`. */
function parseFront(text: string): PlatformFrontOptions {
  const [name = '', port = '0'] = text.split('=');
  return {name, port: Number(port)};
}

async function main(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .option('port', {type: 'number', default: 0})
    .option('control-port', {type: 'number', default: 0})
    .option('front', {type: 'string', array: true, default: [] as string[]})
    .option('policy', {type: 'string', describe: 'document to publish'})
    .option('hosts', {type: 'string', describe: 'host list to publish'})
    .strict()
    .parseAsync();
  const platform = await createEmulatedPlatform({
    port: args.port,
    controlPort: args.controlPort,
    fronts: args.front.map(parseFront),
  });
  if (args.policy !== undefined) {
    platform.publish('policy', await readFile(args.policy));
  }
  if (args.hosts !== undefined) {
    platform.publish('hosts', await readFile(args.hosts));
  }
  exitOnSignal(platform.close);
  printReadyLine({
    port: platform.port,
    control: platform.controlPort,
    fronts: Object.fromEntries(platform.frontPorts),
  });
}

main().catch(exitWithError);
