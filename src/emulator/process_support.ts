/**
 * Conventions of the emulator's programs: one JSON line when ready, a clean
 * end on SIGTERM or SIGINT.
 */
import {describeError} from '../base/errors.js';

/** Tells the parent process which ports are open. */
export function printReadyLine(ports: Readonly<Record<string, unknown>>): void {
  process.stdout.write(`${JSON.stringify({ready: true, ...ports})}\n`);
}

/** Runs the clean-up once on the first stop signal, then exits. */
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

/** Ends the process with one line on standard error. */
export function exitWithError(error: unknown): never {
  process.stderr.write(`${describeError(error)}\n`);
  process.exit(1);
}
