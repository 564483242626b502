/**
 * Command line of `fulmarhollowd`.
 */
import yargs from 'yargs';

import {readPackageVersion} from '../base/package_version.js';

/** What the operator asked for. */
export interface CommandLine {
  readonly settingsPath: string;
  /** Only check the settings. */
  readonly isCheckOnly: boolean;
}

/** Exit code for a wrong command line or settings file. */
export const EXIT_USAGE = 2;

/** Parses the arguments; ends the process on a wrong one, help or version. */
export function parseCommandLine(args: readonly string[]): CommandLine {
  const argv = yargs(args)
    .scriptName('fulmarhollowd')
    .usage('$0 --settings FILE\n\nRuns one node of the overload control layer.')
    .option('settings', {
      type: 'string',
      requiresArg: true,
      demandOption: true,
      describe: 'settings file of this node (JSON)',
    })
    .option('check', {
      type: 'boolean',
      default: false,
      describe: 'only check the settings file',
    })
    .check(({settings}) => {
      // Given twice, the option arrives as a list; guessing which one was
      // meant could start a node under another host's name.
      if (typeof settings === 'string') return true;
      throw new Error('--settings may be given once only.');
    })
    .strict()
    .version(readPackageVersion())
    .help()
    .fail((message, error, parser) => {
      parser.showHelp('error');
      process.stderr.write(`\n${message || error.message}\n`);
      process.exit(EXIT_USAGE);
    })
    .parseSync();
  return {settingsPath: argv.settings, isCheckOnly: argv.check};
}
