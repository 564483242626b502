/**
 * `fulmarhollow policy new`: prints a complete document to start from.
 */
import type {CommandModule} from 'yargs';
import type {CommandOutput, ExitCode} from './command_output.js';
import {EXIT, processOutput, writeJson} from './command_output.js';
import {createStartingPolicy} from './starting_policy.js';
import {compilePolicy} from '../version/compiled_policy.js';
import type {AvailabilityZone} from '../version/policy.js';
import {formatProblem} from '../version/problem.js';

/** Arguments of the command. */
export interface PolicyNewArguments {
  readonly deployment: string;
  /** Each `NAME` or `NAME:REGION`; the region defaults to the deployment. */
  readonly zone: readonly string[];
}

const DEFAULT_ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** The command for yargs. */
export const policyNewCommand: CommandModule<object, PolicyNewArguments> = {
  command: 'new',
  describe: 'print a complete policy document to start from',
  builder: parser =>
    parser
      .option('deployment', {
        type: 'string',
        requiresArg: true,
        demandOption: true,
        describe: 'name of the deployment',
      })
      .option('zone', {
        type: 'string',
        array: true,
        requiresArg: true,
        default: DEFAULT_ZONES,
        describe: 'availability zones, each NAME or NAME:REGION',
      }),
  handler: args => {
    process.exitCode = printStartingPolicy(args, processOutput);
  },
};

/** Prints the document; invalid names are usage errors. */
export function printStartingPolicy(
  args: PolicyNewArguments,
  output: CommandOutput,
): ExitCode {
  const {deployment} = args;
  const availabilityZones = args.zone.map(text => parseZone(text, deployment));
  const policy = createStartingPolicy({deployment, availabilityZones});
  const documentBytes = new TextEncoder().encode(JSON.stringify(policy));
  const compilation = compilePolicy(documentBytes);
  if (compilation.kind === 'compiled') {
    writeJson(output, policy);
    return EXIT.ok;
  }
  for (const problem of compilation.problems) {
    output.writeErrorLine(formatProblem(problem));
  }
  return EXIT.usage;
}

function parseZone(text: string, defaultRegion: string): AvailabilityZone {
  const separatorIndex = text.indexOf(':');
  if (separatorIndex < 0) return {name: text, region: defaultRegion};
  return {
    name: text.slice(0, separatorIndex),
    region: text.slice(separatorIndex + 1),
  };
}
