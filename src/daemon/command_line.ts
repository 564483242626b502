/**
 * Command line of `fulmarhollowd`.
 */
import yargs from 'yargs';

import {readPackageVersion} from '../base/package_version.js';

/** Parsed command line. */
export interface CommandLine {
  readonly settingsPath: string;
  /** Check the settings and exit. */
  readonly isCheckOnly: boolean;
}

/** Exit code for an invalid command line or settings file. */
export const EXIT_USAGE = 2;

/** Parses the arguments; exits the process on an invalid argument, help or version. */
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
      // Given twice, the option is parsed as a list. Choosing one of the values could
      // start a node with another host's name.
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
