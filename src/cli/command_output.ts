/**
 * Output streams and exit codes of the commands.
 */

/** Receives the lines that a command prints, without line breaks. */
export interface CommandOutput {
  writeLine(line: string): void;
  writeErrorLine(line: string): void;
}

/** Exit codes of all commands. */
export const EXIT = {
  ok: 0,
  /** A document is invalid, or a requested item is not in it. */
  invalid: 1,
  /** Wrong arguments or an unreadable file. */
  usage: 2,
} as const;

export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** Writes to standard output and standard error of the process. */
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
