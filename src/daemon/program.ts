/**
 * Runs a node as a process: settings, readiness line, signals, exit code.
 */
import {createTimeSource} from '../base/time_source.js';
import type {Logger} from '../process/logger.js';
import {createBunyanLogger, errorFields} from '../process/logger.js';
import type {Metrics} from '../process/metrics.js';
import {createProcessStateSection} from '../process/process_state.js';
import type {Settings} from '../process/settings.js';
import {readSettingsFile} from '../process/settings_file.js';
import {createStateDump} from '../process/state_dump.js';
import {createMetrics} from '../process/statsd_metrics.js';
import {formatProblem} from '../version/problem.js';
import {EXIT_USAGE, parseCommandLine} from './command_line.js';
import type {DaemonNode, NodeOptions} from './daemon_node.js';

/** Creates the node once its settings are known to be right. */
export type NodeLoader = () => Promise<(options: NodeOptions) => DaemonNode>;

const EXIT_FAILURE = 1;
const METRIC_SERIES_COUNT = 2048;
const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Time for the last metrics to leave after the node has stopped. */
const EXIT_GRACE_MILLIS = 1000;

/** Runs the program to its end. */
export async function runProgram(
  args: readonly string[],
  loadNode: NodeLoader,
): Promise<void> {
  const {settingsPath, isCheckOnly} = parseCommandLine(args);
  const result = readSettingsFile(settingsPath);
  if (result.kind === 'invalid') {
    const lines = result.problems.map(formatProblem);
    process.stderr.write(`${lines.join('\n')}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  if (isCheckOnly) {
    process.stdout.write('settings are valid\n');
    return;
  }
  await runNode(result.settings, loadNode);
}

async function runNode(
  settings: Settings,
  loadNode: NodeLoader,
): Promise<void> {
  const logger = createBunyanLogger({
    settings: settings.log,
    hostName: settings.hostName,
  });
  const metrics = createMetrics({
    settings: settings.metrics,
    maxSeriesCount: METRIC_SERIES_COUNT,
  });
  watchProcess(logger, metrics);
  const stopRequested = watchSignals(logger);
  try {
    const createNode = await loadNode();
    const time = createTimeSource();
    const stateDump = createStateDump();
    stateDump.register('process', createProcessStateSection(settings, time));
    const node = createNode({settings, logger, metrics, stateDump, time});
    logger.info('node-starting');
    const ports = await node.start();
    logger.info('node-ready', {...ports});
    process.stdout.write(`${JSON.stringify({ready: true, ...ports})}\n`);
    await stopRequested;
    await node.stop();
    logger.info('node-stopped');
  } catch (error) {
    logger.error(
      'task-failed',
      errorFields(error, {step: 'run', peer: settings.hostName}),
    );
    process.exitCode = EXIT_FAILURE;
  }
  metrics.dispose();
  endProcess();
}

/** Resolves at the first stop signal; a second one ends the process. */
async function watchSignals(logger: Logger): Promise<void> {
  let signalsCount = 0;
  await new Promise<void>(resolve => {
    for (const signal of STOP_SIGNALS) {
      process.on(signal, () => {
        signalsCount += 1;
        logger.info('node-stopping', {signal, signalsCount});
        if (signalsCount > 1) process.exit(EXIT_FAILURE);
        resolve();
      });
    }
  });
}

function watchProcess(logger: Logger, metrics: Metrics): void {
  // A reader of the log or of the ready line that goes away must not end a
  // node that serves requests; an unhandled stream error would.
  for (const stream of [process.stdout, process.stderr]) {
    stream.on('error', () => {
      metrics.increment('log.write_errors');
    });
  }
  // After an error that no task caught the state is unknown. The line tells
  // the operator why the process ended.
  process.on('uncaughtException', error => {
    logger.error(
      'internal-error',
      errorFields(error, {step: 'process', peer: 'local'}),
    );
    process.exit(EXIT_FAILURE);
  });
}

/** Lets the last output leave, and ends the process if something lingers. */
function endProcess(): void {
  setTimeout(() => {
    process.exit();
  }, EXIT_GRACE_MILLIS).unref();
}
