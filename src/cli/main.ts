#!/usr/bin/env node
/**
 * Entry of the command-line tool; all commands are wired here.
 */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {EXIT, processOutput} from './command_output.js';
import {consoleCommand} from './console/console_command.js';
import {lossesCommand} from './losses_command.js';
import {policyCommand} from './policy_command.js';
import {stateCommand} from './state_command.js';
import {traceCommand} from './trace_command.js';

await yargs(hideBin(process.argv))
  .scriptName('fulmarhollow')
  .command(policyCommand)
  .command(consoleCommand)
  .command(stateCommand)
  .command(traceCommand)
  .command(lossesCommand)
  .demandCommand(1, 'a command is needed; --help lists them')
  .strict()
  .fail((message, error) => {
    // yargs would exit with 1, which stands for an invalid document here.
    processOutput.writeErrorLine(message || error.message);
    process.exit(EXIT.usage);
  })
  .help()
  .version()
  .parseAsync();
