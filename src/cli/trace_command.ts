/**
 * `fulmarhollow trace ID [FILE...]`: shows the log lines of one request.
 */
import type {Readable} from 'node:stream';
import type {CommandModule} from 'yargs';
import {describeError} from '../base/errors.js';
import {REQUEST_ID_SEPARATOR, parseLogLine, readLogLines} from './log_lines.js';

/** Arguments of the command. */
export interface TraceArguments {
  readonly id: string;
  readonly files: readonly string[];
}

/** A log line about the request or one of its calls. */
export interface TracedLine {
  readonly time: string;
  readonly node: string;
  readonly event: string;
  /** The other fields as `name=value`, separated by spaces. */
  readonly fields: string;
}

/** Fields that every line has, and fields printed in their own columns. */
const HIDDEN_FIELDS: ReadonlySet<string> = new Set([
  'name',
  'hostname',
  'pid',
  'level',
  'msg',
  'v',
  'time',
  'node',
  'event',
]);

const EXIT_NOTHING_FOUND = 1;
const EXIT_UNREADABLE = 2;

/** The command for yargs. */
export const traceCommand: CommandModule<object, TraceArguments> = {
  command: 'trace <id> [files..]',
  describe: 'show what logs say of a request and of the calls made for it',
  builder: parser =>
    parser
      .positional('id', {
        type: 'string',
        demandOption: true,
        describe: 'id of the request',
      })
      .positional('files', {
        array: true,
        type: 'string',
        default: [],
        describe: 'log files; standard input if there is none',
      }),
  handler: async args => {
    process.exitCode = await printTrace(args, process.stdin, line => {
      process.stdout.write(`${line}\n`);
    });
  },
};

/** Prints the lines ordered by time; resolves with the exit code. */
export async function printTrace(
  args: TraceArguments,
  input: Readable,
  writeLine: (line: string) => void,
): Promise<number> {
  let lines: readonly TracedLine[];
  try {
    lines = await findTracedLines(args, input);
  } catch (error) {
    writeLine(describeError(error));
    return EXIT_UNREADABLE;
  }
  for (const {time, node, event, fields} of lines) {
    writeLine(`${time} ${node} ${event} ${fields}`.trimEnd());
  }
  if (lines.length > 0) return 0;
  writeLine(
    `No log line found for ${args.id}; nodes suppress lines beyond their rate limit, see suppressedCount.`,
  );
  return EXIT_NOTHING_FOUND;
}

async function findTracedLines(
  args: TraceArguments,
  input: Readable,
): Promise<readonly TracedLine[]> {
  const found: TracedLine[] = [];
  for await (const text of readLogLines(args.files, input)) {
    const traced = parseTracedLine(text, args.id);
    if (traced !== undefined) found.push(traced);
  }
  return found.sort((a, b) => (a.time < b.time ? -1 : 1));
}

/** Parses a line; undefined if it is not about the request or its calls. */
export function parseTracedLine(
  text: string,
  id: string,
): TracedLine | undefined {
  if (!text.includes(id)) return undefined;
  const line = parseLogLine(text);
  if (line === undefined) return undefined;
  if (
    !isRequestOrCallId(line['requestId'], id) &&
    !isRequestOrCallId(line['rootId'], id)
  ) {
    return undefined;
  }
  return {
    time: String(line['time']),
    node: String(line['node']),
    event: String(line['event']),
    fields: Object.entries(line)
      .filter(([name]) => !HIDDEN_FIELDS.has(name))
      .map(([name, value]) => `${name}=${String(value)}`)
      .join(' '),
  };
}

function isRequestOrCallId(value: unknown, id: string): boolean {
  if (typeof value !== 'string') return false;
  return value === id || value.startsWith(`${id}${REQUEST_ID_SEPARATOR}`);
}
