/**
 * `fulmarhollow policy`: commands for policy documents.
 */
import type {CommandModule} from 'yargs';
import {policyCheckCommand} from './policy_check_command.js';
import {policyDigestKeyCommand} from './policy_digest_key_command.js';
import {policyDiffCommand} from './policy_diff_command.js';
import {policyExplainCommand} from './policy_explain_command.js';
import {policyNewCommand} from './policy_new_command.js';

/** The command group for yargs. */
export const policyCommand: CommandModule = {
  command: 'policy <command>',
  describe: 'write and check policy documents',
  builder: parser =>
    parser
      .command(policyNewCommand)
      .command(policyCheckCommand)
      .command(policyExplainCommand)
      .command(policyDiffCommand)
      .command(policyDigestKeyCommand)
      .demandCommand(),
  handler: () => undefined,
};
