/**
 * Conventions of the emulator's programs: a JSON line on stdout when ready, and
 * a clean exit on SIGTERM or SIGINT.
 */
import {describeError} from '../base/errors.js';

/** Prints the ready line, from which the parent process reads the ports. */
export function printReadyLine(ports: Readonly<Record<string, unknown>>): void {
  process.stdout.write(`${JSON.stringify({ready: true, ...ports})}\n`);
}

/** Calls `stop` on the first SIGTERM or SIGINT, then exits. */
export function exitOnSignal(stop: () => Promise<void>): void {
  let isStopping = false;
  const onSignal = (): void => {
    if (isStopping) return;
    isStopping = true;
    stop().then(
      () => process.exit(0),
      (error: unknown) => {
        exitWithError(error);
      },
    );
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

/** Prints the error on stderr and exits with code 1. */
export function exitWithError(error: unknown): never {
  process.stderr.write(`${describeError(error)}\n`);
  process.exit(1);
}
