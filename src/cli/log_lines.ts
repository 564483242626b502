/**
 * Lines of the logs of nodes, from files or from standard input.
 */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import {InvalidInputError} from '../base/errors.js';

/** Fields of one line. */
export type LogLine = Readonly<Record<string, unknown>>;

/** Ids of calls are the id of their request, this, and a part of their own. */
export const REQUEST_ID_SEPARATOR = '.';

/**
 * Reads all lines of files, or of the input if there are none; throws
 * `InvalidInputError` for a file that cannot be read.
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

/** Some log collectors put a time or a host before the JSON. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    return JSON.parse(text.slice(start)) as LogLine;
  } catch {
    return undefined;
  }
}
