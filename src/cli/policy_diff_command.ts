/**
 * `fulmarhollow policy diff OLD NEW`: lists changes, and the hosts, nodes,
 * callers, clients or requests that each one affects.
 */
import type {CommandModule} from 'yargs';
import type {CommandOutput, ExitCode} from './command_output.js';
import {EXIT, processOutput, writeJson} from './command_output.js';
import {findPolicyChanges, formatChange} from './policy_changes.js';
import {readValidPolicy} from './policy_file.js';
import {checkPolicyUpdate} from './policy_update.js';

/** Arguments of the command. */
export interface PolicyDiffArguments {
  readonly old: string;
  readonly new: string;
  readonly json: boolean;
}

/** The command for yargs. */
export const policyDiffCommand: CommandModule<object, PolicyDiffArguments> = {
  command: 'diff <old> <new>',
  describe: 'show what changes between two documents, and for whom',
  builder: parser =>
    parser
      .positional('old', {
        type: 'string',
        demandOption: true,
        describe: 'document to be replaced',
      })
      .positional('new', {
        type: 'string',
        demandOption: true,
        describe: 'document that replaces it',
      })
      .option('json', {
        type: 'boolean',
        default: false,
        describe: 'print JSON instead of text',
      }),
  handler: args => {
    process.exitCode = printPolicyChanges(args, processOutput);
  },
};

/** Prints the changes and the warnings of the update. */
export function printPolicyChanges(
  args: PolicyDiffArguments,
  output: CommandOutput,
): ExitCode {
  const before = readValidPolicy(args.old, output);
  const after = readValidPolicy(args.new, output);
  if (typeof before === 'number') return before;
  if (typeof after === 'number') return after;
  const changes = findPolicyChanges(before.policy, after.policy);
  const {warnings} = checkPolicyUpdate(before.policy, after.policy);
  if (args.json) {
    writeJson(output, {changes, warnings});
    return EXIT.ok;
  }
  if (changes.length === 0) output.writeLine('no changes');
  for (const change of changes) output.writeLine(formatChange(change));
  for (const warning of warnings) output.writeLine(`warning: ${warning}`);
  return EXIT.ok;
}
