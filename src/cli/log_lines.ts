/**
 * Reads the log lines of nodes from files or from standard input.
 */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import {InvalidInputError} from '../base/errors.js';

/** Fields of one log line. */
export type LogLine = Readonly<Record<string, unknown>>;

/** Separates the id of a request from the suffix in the ids of its calls. */
export const REQUEST_ID_SEPARATOR = '.';

/**
 * Reads all lines of the files, or of `input` if no files are given. Throws
 * `InvalidInputError` if a file cannot be read.
 */
export async function* readLogLines(
  files: readonly string[],
  input: Readable,
): AsyncGenerator<string> {
  const streams =
    files.length > 0
      ? files.map(file => ({name: file, stream: createReadStream(file)}))
      : [{name: 'standard input', stream: input}];
  for (const {name, stream} of streams) {
    try {
      for await (const line of createInterface({input: stream})) yield line;
    } catch (cause) {
      const props = {step: 'read-log', peer: name};
      throw new InvalidInputError(`${name} cannot be read.`, {cause, props});
    }
  }
}

/**
 * Parses a line; returns undefined if it holds no JSON object. Text before the
 * JSON is skipped, since some log collectors prepend a time or a host.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    return JSON.parse(text.slice(start)) as LogLine;
  } catch {
    return undefined;
  }
}
