/**
 * One measurement that `npm run bench` can make.
 */
import type {ExampleName} from '../src/emulator/example_deployment.js';

/** What the command line asks of a measurement. */
export interface BenchOptions {
  /** Fewer samples and shorter phases, for a look rather than a figure. */
  readonly isQuick: boolean;
  /** Only this variant; all when absent. */
  readonly variant: string | undefined;
  /** Only this example deployment; both when absent. */
  readonly deployment: ExampleName | undefined;
  /** File for a report to look at, if one is wanted. */
  readonly reportPath: string | undefined;
  /** Receives lines about what goes on. */
  readonly notify: (line: string) => void;
}

/** What a measurement found. */
export interface BenchResult {
  /** Tables to print. */
  readonly text: string;
  /** The figures, as written to the JSON file. */
  readonly figures: unknown;
}

/** A measurement with the name of its subcommand. */
export abstract class BenchCommand {
  abstract readonly name: string;
  abstract readonly description: string;
  /** Ends every process it started, also when it fails. */
  abstract run(options: BenchOptions): Promise<BenchResult>;
}
