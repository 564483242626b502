/**
 * Where commands print, and the codes they exit with.
 */

/** Receives the lines a command prints. */
export interface CommandOutput {
  writeLine(line: string): void;
  writeErrorLine(line: string): void;
}

/** Exit codes of all commands. */
export const EXIT = {
  ok: 0,
  /** A document has problems, or something asked for is not in it. */
  invalid: 1,
  /** Wrong arguments or an unreadable file. */
  usage: 2,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** Prints to the streams of the process. */
export const processOutput: CommandOutput = {
  writeLine: line => {
    process.stdout.write(`${line}\n`);
  },
  writeErrorLine: line => {
    process.stderr.write(`${line}\n`);
  },
};

/** Prints a value as indented JSON. */
export function writeJson(output: CommandOutput, value: unknown): void {
  output.writeLine(JSON.stringify(value, undefined, 2));
}
