#!/usr/bin/env node
/**
 * Entry point of the command-line tool; registers all commands.
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
  .demandCommand(1, 'a command is required; --help lists the commands')
  .strict()
  .fail((message, error) => {
    // yargs would exit with 1, which means an invalid document here.
    processOutput.writeErrorLine(message || error.message);
    process.exit(EXIT.usage);
  })
  .help()
  .version()
  .parseAsync();
