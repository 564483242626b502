/**
 * `fulmarhollow losses [FILE...]`: summarizes failed requests of a fleet.
 */
import type {Readable} from 'node:stream';
import type {CommandModule} from 'yargs';
import {describeError} from '../base/errors.js';
import type {CommandOutput, ExitCode} from './command_output.js';
import {EXIT, processOutput, writeJson} from './command_output.js';
import {parseLogLine, readLogLines} from './log_lines.js';
import type {LossSummary, LossRow} from './losses.js';
import {createLossCounter} from './losses.js';

/** Arguments of the command. */
export interface LossesArguments {
  readonly files: readonly string[];
  readonly spanSeconds: number;
  readonly json: boolean;
}

/** Rows shown in each table; any further rows have the lowest counts. */
const MAX_SHOWN_ROWS_COUNT = 12;

const DEFAULT_SPAN_SECONDS = 2;
const MILLIS_PER_SECOND = 1000;

/** The command for yargs. */
export const lossesCommand: CommandModule<object, LossesArguments> = {
  command: 'losses [files..]',
  describe: 'sum up from logs which requests were not served, and why',
  builder: parser =>
    parser
      .positional('files', {
        array: true,
        type: 'string',
        default: [],
        describe: 'log files of all nodes; standard input if there is none',
      })
      .option('spanSeconds', {
        type: 'number',
        default: DEFAULT_SPAN_SECONDS,
        describe: 'length of the spans of time',
      })
      .option('json', {
        type: 'boolean',
        default: false,
        describe: 'print everything as JSON',
      }),
  handler: async args => {
    process.exitCode = await printLosses(args, process.stdin, processOutput);
  },
};

/** Prints the summary; resolves with the exit code. */
export async function printLosses(
  args: LossesArguments,
  input: Readable,
  output: CommandOutput,
): Promise<ExitCode> {
  if (!(args.spanSeconds > 0)) {
    output.writeErrorLine('spanSeconds must be a number greater than 0.');
    return EXIT.usage;
  }
  const counter = createLossCounter();
  try {
    for await (const text of readLogLines(args.files, input)) {
      const line = parseLogLine(text);
      if (line !== undefined) counter.add(line);
    }
  } catch (error) {
    output.writeErrorLine(describeError(error));
    return EXIT.usage;
  }
  const losses = counter.summarize(args.spanSeconds * MILLIS_PER_SECOND);
  if (args.json) writeJson(output, losses);
  else writeTables(output, losses);
  return EXIT.ok;
}

function writeTables(output: CommandOutput, losses: LossSummary): void {
  const covered = (losses.coveredRatio * 100).toFixed(1);
  output.writeLine(
    `${String(losses.count)} attempts of clients not served; lines of ${covered}% of these decisions`,
  );
  writeTable(output, 'reason', losses.byReason.slice(0, MAX_SHOWN_ROWS_COUNT));
  writeTable(output, 'route', losses.byRoute.slice(0, MAX_SHOWN_ROWS_COUNT));
  writeTable(output, 'from', losses.bySpan);
}

function writeTable(
  output: CommandOutput,
  heading: string,
  rows: readonly LossRow[],
): void {
  output.writeLine('');
  output.writeLine(`   count   held s  ${heading}`);
  for (const {name, count, heldMillis} of rows) {
    const held = (heldMillis / MILLIS_PER_SECOND).toFixed(1);
    output.writeLine(
      `${String(count).padStart(8)} ${held.padStart(8)}  ${name}`,
    );
  }
}
