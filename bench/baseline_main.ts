/**
 * Program: a node that only forwards, for comparison with the product. It
 * takes the product's settings file and reads the platform once.
 */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {
  announceReady,
  exitOnSignal,
  failProcess,
} from '../src/emulator/process_support.js';
import {readSettingsFile} from '../src/process/settings_file.js';
import {formatProblem} from '../src/version/problem.js';
import {BASELINE_MODES, startBaselineNode} from './baseline_node.js';

async function main(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .option('settings', {type: 'string', demandOption: true})
    .option('mode', {choices: BASELINE_MODES, demandOption: true})
    .strict()
    .parseAsync();
  const result = readSettingsFile(args.settings);
  if (result.kind === 'invalid') {
    throw new Error(result.problems.map(formatProblem).join('\n'));
  }
  const node = await startBaselineNode(result.settings, args.mode);
  exitOnSignal(node.close);
  announceReady({...result.settings.listen});
}

main().catch(failProcess);
