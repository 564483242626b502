/**
 * Runs a node as a process: settings, signals, readiness and operator listeners.
 */
import {statSync} from 'node:fs';
import {createServer} from 'node:http';
import {describeError} from '../base/errors.js';
import {createCachedClock} from '../base/cached_clock.js';
import {createIntervalTimer} from '../base/lifecycle.js';
import {openOperatorListener} from '../connection/operator_listener.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import {createDecisionLog} from '../process/log/decision_log.js';
import {createNodeMetrics} from '../process/log/node_metrics.js';
import type {
  Endpoint,
  NodeSettings,
} from '../process/settings/node_settings.js';
import type {PublishedDocuments} from '../process/membership/published_documents.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import type {ServiceNode} from './service_node.js';
import {startServiceNode} from './service_node.js';

/** Parts that differ between deployments. */
export interface NodeProgramOptions {
  readonly settingsPath: string;
  /** Reads the current settings; throws an error that describes invalid ones. */
  readonly readSettings: () => NodeSettings;
  readonly createDocuments: (settings: NodeSettings) => PublishedDocuments;
  readonly wireHeaders: WireHeaders;
  /** Path of the readiness check. */
  readonly readyPath: string;
}

/** Interval at which the settings file is checked for changes. */
const SETTINGS_POLL_MILLIS = 1000;

/** Delay before exit, in which the last log lines and responses are written. */
const EXIT_DELAY_MILLIS = 60;

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Exit code if the start failed or a second stop signal arrived. */
const EXIT_FAILURE = 1;

/** Exit code for invalid settings. */
const EXIT_USAGE = 2;

/** Starts the node; it runs until a stop signal. */
export async function runNodeProgram(
  options: NodeProgramOptions,
): Promise<void> {
  const settings = readInitialSettings(options);
  if (settings === undefined) return;
  const nowMillis = createCachedClock(() => performance.now());
  const log = createDecisionLog(settings.nodeName, nowMillis);
  const metrics = createNodeMetrics();
  const {service, zone} = settings;
  log.logStateEvent('node-starting', {service, availabilityZone: zone});
  process.on('uncaughtException', error => {
    log.logStateEvent('internal-error', {
      message: error.stack ?? error.message,
    });
  });
  process.on('unhandledRejection', error => {
    log.logStateEvent('internal-error', {message: describeError(error)});
  });
  try {
    const node = await startServiceNode({
      settings,
      readSettings: options.readSettings,
      wireHeaders: options.wireHeaders,
      documents: options.createDocuments(settings),
      log,
      metrics,
      nowMillis,
      random: Math.random,
    });
    if (settings.ready !== undefined) {
      await openReadyListener(settings.ready, options.readyPath, node);
    }
    await openOperatorEndpoint(settings, node, metrics.text, log);
    const startMillis = Math.round(nowMillis());
    log.logStateEvent('node-started', {startMillis, ...node.ports});
    watchSettings(options, node, log);
    handleStopSignals(node, log);
  } catch (error) {
    log.logStateEvent('start-failed', {message: describeError(error)});
    endProcess(EXIT_FAILURE);
  }
}

function readInitialSettings(
  options: NodeProgramOptions,
): NodeSettings | undefined {
  try {
    return options.readSettings();
  } catch (error) {
    process.stderr.write(`${describeError(error)}\n`);
    process.exitCode = EXIT_USAGE;
    return undefined;
  }
}

/** Serves the readiness check of this host. */
async function openReadyListener(
  endpoint: Endpoint,
  readyPath: string,
  node: ServiceNode,
): Promise<void> {
  const server = createServer((request, response) => {
    const isReadyPath = request.url === readyPath;
    const isReady = node.waitingFor().length === 0;
    const statusCode = isReadyPath ? (isReady ? 200 : 503) : 404;
    response.writeHead(statusCode, {'content-length': '0'});
    response.end();
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(endpoint.port, endpoint.address, resolve);
  });
}

/** A failure is only logged, so that the node serves clients even if the port is in use. */
async function openOperatorEndpoint(
  settings: NodeSettings,
  node: ServiceNode,
  metricsText: () => Promise<string>,
  log: DecisionLog,
): Promise<void> {
  try {
    await openOperatorListener(settings.operators, {
      nodeName: settings.nodeName,
      waitingFor: node.waitingFor,
      metricsText,
      state: node.state,
      configuration: node.configuration,
    });
  } catch (error) {
    log.logStateEvent('operators-unavailable', {message: describeError(error)});
  }
}

/** Reloads the settings on SIGHUP and when the file has changed. */
function watchSettings(
  options: NodeProgramOptions,
  node: ServiceNode,
  log: DecisionLog,
): void {
  let lastModifiedMillis = modifiedMillis(options.settingsPath);
  const reload = (cause: string): void => {
    try {
      const outcome = node.applySettings(options.readSettings());
      log.logStateEvent('settings-reloaded', {cause, outcome});
    } catch (error) {
      log.logStateEvent('settings-refused', {
        cause,
        message: describeError(error),
      });
    }
  };
  process.on('SIGHUP', () => {
    reload('signal');
  });
  createIntervalTimer(SETTINGS_POLL_MILLIS, () => {
    const modified = modifiedMillis(options.settingsPath);
    if (modified === lastModifiedMillis) return;
    lastModifiedMillis = modified;
    reload('file');
  });
}

function modifiedMillis(path: string): number {
  return statSync(path, {throwIfNoEntry: false})?.mtimeMs ?? 0;
}

/** The first signal starts a planned stop, the second one exits the process. */
function handleStopSignals(node: ServiceNode, log: DecisionLog): void {
  let signalsCount = 0;
  for (const signal of STOP_SIGNALS) {
    process.on(signal, () => {
      signalsCount += 1;
      log.logStateEvent('node-stopping', {signal, signalsCount});
      if (signalsCount > 1) {
        endProcess(EXIT_FAILURE);
        return;
      }
      void node.stop().then(() => {
        log.logStateEvent('node-stopped');
        endProcess(0);
      });
    });
  }
}

function endProcess(exitCode: number): void {
  setTimeout(() => process.exit(exitCode), EXIT_DELAY_MILLIS);
}
