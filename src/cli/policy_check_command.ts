/**
 * `fulmarhollow policy check FILE...`: reports all problems of policy documents.
 */
import type {CommandModule} from 'yargs';
import type {CommandOutput, ExitCode} from './command_output.js';
import {EXIT, processOutput} from './command_output.js';
import {readPolicyFile, readValidPolicy} from './policy_file.js';
import {checkPolicyUpdate} from './policy_update.js';
import type {CompiledPolicy} from '../version/policy.js';
import {findPolicyWarnings} from '../version/policy_warnings.js';
import {formatProblem} from '../version/problem.js';

/** Arguments of the command. */
export interface PolicyCheckArguments {
  readonly files: readonly string[];
  /** File with the version to be replaced. */
  readonly previous: string | undefined;
}

/** The command for yargs. */
export const policyCheckCommand: CommandModule<object, PolicyCheckArguments> = {
  command: 'check <files..>',
  describe: 'report every fault of policy documents',
  builder: parser =>
    parser
      .positional('files', {
        type: 'string',
        array: true,
        demandOption: true,
        describe: 'policy documents',
      })
      .option('previous', {
        type: 'string',
        requiresArg: true,
        describe: 'document that the one file is to replace',
      })
      .check(args => {
        if (args.previous === undefined || args.files.length === 1) return true;
        throw new Error('--previous requires exactly one file');
      }),
  handler: args => {
    process.exitCode = checkPolicyFiles(args, processOutput);
  },
};

/** Checks all files even if some fail; returns the highest exit code. */
export function checkPolicyFiles(
  args: PolicyCheckArguments,
  output: CommandOutput,
): ExitCode {
  const previous =
    args.previous === undefined
      ? undefined
      : readValidPolicy(args.previous, output);
  const codes = args.files.map(filePath =>
    checkFile(
      filePath,
      typeof previous === 'object' ? previous : undefined,
      output,
    ),
  );
  if (typeof previous === 'number') codes.push(previous);
  return codes.reduce((worst, code) => (code > worst ? code : worst), EXIT.ok);
}

function checkFile(
  filePath: string,
  previous: CompiledPolicy | undefined,
  output: CommandOutput,
): ExitCode {
  const file = readPolicyFile(filePath);
  switch (file.kind) {
    case 'unreadable':
      output.writeErrorLine(`${filePath}: cannot be read: ${file.message}`);
      return EXIT.usage;
    case 'invalid':
      for (const problem of file.problems) {
        output.writeLine(`${filePath}: error: ${formatProblem(problem)}`);
      }
      return EXIT.invalid;
    case 'compiled':
      return reportCompiledPolicy(filePath, file.compiled, previous, output);
  }
}

function reportCompiledPolicy(
  filePath: string,
  compiled: CompiledPolicy,
  previous: CompiledPolicy | undefined,
  output: CommandOutput,
): ExitCode {
  const updateReport = previous
    ? checkPolicyUpdate(previous.policy, compiled.policy)
    : {problems: [], warnings: []};
  const warnings = [
    ...findPolicyWarnings(compiled.policy).map(formatProblem),
    ...updateReport.warnings,
  ];
  for (const problem of updateReport.problems) {
    output.writeLine(`${filePath}: error: ${formatProblem(problem)}`);
  }
  for (const warning of warnings) {
    output.writeLine(`${filePath}: warning: ${warning}`);
  }
  if (updateReport.problems.length > 0) return EXIT.invalid;
  output.writeLine(
    `${filePath}: ok: ${compiled.policy.deployment} version ${String(compiled.version)}, SHA-256 ${compiled.digest}`,
  );
  return EXIT.ok;
}
