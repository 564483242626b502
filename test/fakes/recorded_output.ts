/**
 * Output of a command as a test reads it.
 */
import type {CommandOutput} from '../../src/cli/command_output.js';

/** Lines printed so far. */
export interface RecordedOutput extends CommandOutput {
  readonly lines: readonly string[];
  readonly errorLines: readonly string[];
}

/** Creates an output without lines. */
export function createRecordedOutput(): RecordedOutput {
  const lines: string[] = [];
  const errorLines: string[] = [];
  return {
    lines,
    errorLines,
    writeLine: line => {
      lines.push(line);
    },
    writeErrorLine: line => {
      errorLines.push(line);
    },
  };
}
