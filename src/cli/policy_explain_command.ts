/**
 * `fulmarhollow policy explain FILE`: shows the rules for a request.
 */
import type {CommandModule} from 'yargs';
import type {CommandOutput, ExitCode} from './command_output.js';
import {EXIT, processOutput, writeJson} from './command_output.js';
import {readValidPolicy} from './policy_file.js';
import {explainRoute, formatExplanation} from './route_explanation.js';
import type {CompiledPolicy} from '../version/policy.js';

/** Arguments of the command. */
export interface PolicyExplainArguments {
  readonly file: string;
  readonly service: string;
  readonly method: string;
  /** Path of a request, not a route pattern. */
  readonly path: string;
  readonly json: boolean;
}

/** The command for yargs. */
export const policyExplainCommand: CommandModule<
  object,
  PolicyExplainArguments
> = {
  command: 'explain <file>',
  describe: 'show the rules that apply to a request',
  builder: parser =>
    parser
      .positional('file', {
        type: 'string',
        demandOption: true,
        describe: 'policy document',
      })
      .option('service', {
        type: 'string',
        requiresArg: true,
        demandOption: true,
        describe: 'service that the request is for',
      })
      .option('method', {
        type: 'string',
        requiresArg: true,
        default: 'GET',
        describe: 'HTTP method',
      })
      .option('path', {
        type: 'string',
        requiresArg: true,
        demandOption: true,
        describe: 'path of the request',
      })
      .option('json', {
        type: 'boolean',
        default: false,
        describe: 'print JSON instead of text',
      }),
  handler: args => {
    process.exitCode = explainRequest(args, processOutput);
  },
};

/** Prints the rules, or the known services or routes if none matches. */
export function explainRequest(
  args: PolicyExplainArguments,
  output: CommandOutput,
): ExitCode {
  const compiled = readValidPolicy(args.file, output);
  if (typeof compiled === 'number') return compiled;
  const method = args.method.toUpperCase();
  const [path = ''] = args.path.split('?');
  const match = compiled.findRoute(args.service, method, path);
  if (match === undefined) {
    output.writeErrorLine(
      describeMissingRoute(compiled, args.service, method, path),
    );
    return EXIT.invalid;
  }
  const rules = explainRoute(compiled, match);
  if (args.json) writeJson(output, rules);
  else formatExplanation(rules).forEach(line => output.writeLine(line));
  return EXIT.ok;
}

function describeMissingRoute(
  compiled: CompiledPolicy,
  serviceName: string,
  method: string,
  path: string,
): string {
  const service = compiled.findService(serviceName);
  if (service === undefined) {
    const names = compiled.policy.services.map(({name}) => name).join(', ');
    return `no service ${serviceName}; the document has ${names}`;
  }
  const routes = service.routes
    .map(route => `${route.method} ${route.path}`)
    .join(', ');
  return `no route of ${serviceName} matches ${method} ${path}; it has ${routes}`;
}
