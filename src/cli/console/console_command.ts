/**
 * `fulmarhollow console [FILE]`: serves forms for editing a policy document.
 */
import type {CommandModule} from 'yargs';
import type {ConsoleServer} from './console_server.js';
import {createConsoleServer} from './console_server.js';
import {createConsoleSession} from './console_session.js';
import type {CommandOutput, ExitCode} from '../command_output.js';
import {EXIT, processOutput} from '../command_output.js';
import {readValidPolicy} from '../policy_file.js';
import {describeError} from '../../base/errors.js';
import {createDisposableStore, toDisposable} from '../../base/lifecycle.js';

/** Arguments of the command. */
export interface ConsoleArguments {
  /** Document to be replaced; undefined if there is none. */
  readonly file: string | undefined;
  readonly port: number;
  /** File to which documents are saved; undefined to download them. */
  readonly out: string | undefined;
}

const PORT_MAXIMUM = 65_535;

/** The command for yargs. */
export const consoleCommand: CommandModule<object, ConsoleArguments> = {
  command: 'console [file]',
  describe: 'serve forms for writing a policy document on this machine',
  builder: parser =>
    parser
      .positional('file', {
        type: 'string',
        describe: 'document to be replaced; none for a first one',
      })
      .option('port', {
        type: 'number',
        requiresArg: true,
        default: 0,
        describe: 'loopback port, 0 for any free one',
      })
      .option('out', {
        type: 'string',
        requiresArg: true,
        describe: 'file to write saved documents to, instead of a download',
      })
      .check(({port}) => {
        if (Number.isInteger(port) && port >= 0 && port <= PORT_MAXIMUM) {
          return true;
        }
        throw new Error(
          `--port must be a whole number from 0 to ${String(PORT_MAXIMUM)}`,
        );
      }),
  handler: async args => {
    const stopSignals = createSignalWatch();
    process.exitCode = await runConsole(
      args,
      processOutput,
      stopSignals.signal,
    );
    stopSignals.dispose();
  },
};

/** Serves the forms until `signal` aborts. */
export async function runConsole(
  args: ConsoleArguments,
  output: CommandOutput,
  signal: AbortSignal,
): Promise<ExitCode> {
  const previous =
    args.file === undefined ? undefined : readValidPolicy(args.file, output);
  if (typeof previous === 'number') return previous;
  const session = createConsoleSession({previous, outputFile: args.out});
  let server: ConsoleServer;
  try {
    server = await createConsoleServer({
      session,
      port: args.port,
      onFailure: message => output.writeErrorLine(message),
    });
  } catch (error) {
    output.writeErrorLine(`cannot listen: ${describeError(error)}`);
    return EXIT.usage;
  }
  output.writeLine(`Open ${server.url}`);
  output.writeLine('Whoever knows this address can use it. Stop with Ctrl+C.');
  await waitForAbort(signal);
  server.dispose();
  return EXIT.ok;
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal.aborted) resolve();
    else signal.addEventListener('abort', () => resolve(), {once: true});
  });
}

/** Aborts when the process receives `SIGINT` or `SIGTERM`. */
function createSignalWatch() {
  const controller = new AbortController();
  const store = createDisposableStore();
  const onSignal = () => controller.abort();
  for (const name of ['SIGINT', 'SIGTERM'] as const) {
    process.on(name, onSignal);
    store.add(toDisposable(() => process.off(name, onSignal)));
  }
  return {signal: controller.signal, dispose: () => store.dispose()};
}
