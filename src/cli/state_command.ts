/**
 * `fulmarhollow state HOST...`: shows the state of running nodes.
 */
import type {CommandModule} from 'yargs';

import {BaseError, describeError} from '../base/errors.js';
import type {AdminAddress} from './admin_client.js';
import {fetchAdminJson, parseAdminAddress} from './admin_client.js';
import {formatStateTable, toStateRows} from './state_table.js';

/** Arguments of the command. */
export interface StateArguments {
  readonly hosts: readonly AdminAddress[];
  readonly section: string | undefined;
  readonly json: boolean;
}

/** Receives the lines that the command prints. */
export interface StateOutput {
  writeLine(line: string): void;
  writeErrorLine(line: string): void;
}

/** State of one node, or the reason why it could not be read. */
type HostState =
  | {
      readonly kind: 'read';
      readonly host: string;
      readonly sections: Readonly<Record<string, unknown>>;
    }
  | {
      readonly kind: 'unreachable';
      readonly host: string;
      readonly step: string;
      readonly message: string;
    };

const EXIT_UNREACHABLE = 1;
const MAX_CONCURRENT_HOSTS_COUNT = 16;

/** The command for yargs. */
export const stateCommand: CommandModule<object, StateArguments> = {
  command: 'state <hosts..>',
  describe: 'show the state of running nodes',
  builder: parser =>
    parser
      .positional('hosts', {
        array: true,
        demandOption: true,
        describe: 'address:port of administration listeners',
        coerce: (hosts: readonly unknown[]) =>
          hosts.map(host => parseAdminAddress(String(host))),
      })
      .option('section', {
        type: 'string',
        requiresArg: true,
        describe: 'show one section only',
      })
      .option('json', {
        type: 'boolean',
        default: false,
        describe: 'print JSON instead of a table',
      }),
  handler: async args => {
    process.exitCode = await showState(args, {
      writeLine: line => process.stdout.write(`${line}\n`),
      writeErrorLine: line => process.stderr.write(`${line}\n`),
    });
  },
};

/**
 * Reads and prints the state of all hosts; resolves with the exit code, which is
 * 1 if a host could not be read.
 */
export async function showState(
  args: StateArguments,
  output: StateOutput,
): Promise<number> {
  const states = await readStates(args.hosts, args.section);
  output.writeLine(args.json ? formatJson(states) : formatTable(states));
  const unreachable = states.filter(state => state.kind === 'unreachable');
  for (const {host, step, message} of unreachable) {
    output.writeErrorLine(`${host}: ${step}: ${message}`);
  }
  return unreachable.length > 0 ? EXIT_UNREACHABLE : 0;
}

/** Reads hosts in batches, which limits open connections for large fleets. */
async function readStates(
  hosts: readonly AdminAddress[],
  section: string | undefined,
): Promise<readonly HostState[]> {
  const states: HostState[] = [];
  for (
    let start = 0;
    start < hosts.length;
    start += MAX_CONCURRENT_HOSTS_COUNT
  ) {
    const batch = hosts.slice(start, start + MAX_CONCURRENT_HOSTS_COUNT);
    const reads = batch.map(host => readState(host, section));
    states.push(...(await Promise.all(reads)));
  }
  return states;
}

async function readState(
  address: AdminAddress,
  section: string | undefined,
): Promise<HostState> {
  const host = address.text;
  try {
    const path = section === undefined ? '/state' : `/state/${section}`;
    const content = await fetchAdminJson(address, encodeURI(path));
    const sections =
      section === undefined
        ? (content as Readonly<Record<string, unknown>>)
        : {[section]: content};
    return {kind: 'read', host, sections};
  } catch (error) {
    const step = error instanceof BaseError ? error.step : 'read';
    return {kind: 'unreachable', host, step, message: describeError(error)};
  }
}

function formatTable(states: readonly HostState[]): string {
  const rows = states.flatMap(state =>
    state.kind === 'read' ? toStateRows(state.host, state.sections) : [],
  );
  return formatStateTable(rows);
}

function formatJson(states: readonly HostState[]): string {
  const entries = states.map(state =>
    state.kind === 'read'
      ? {host: state.host, state: state.sections}
      : {
          host: state.host,
          error: {step: state.step, peer: state.host, message: state.message},
        },
  );
  return JSON.stringify(entries, undefined, 2);
}
