/**
 * Command output that records its lines.
 */
import type {CommandOutput} from '../../src/cli/command_output.js';

export interface RecordedOutput extends CommandOutput {
  readonly lines: readonly string[];
  readonly errorLines: readonly string[];
}

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
