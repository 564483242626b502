/**
 * Runs a service node as a process: settings, signals, operators' listeners.
 */
import {statSync} from 'node:fs';
import {createServer} from 'node:http';
import type {Server, ServerResponse} from 'node:http';
import {describeError} from '../base/errors.js';
import {createIntervalTimer} from '../base/lifecycle.js';
import type {DecisionLog} from '../process/decision_log.js';
import {createDecisionLog} from '../process/decision_log.js';
import type {NodeMetrics} from '../process/node_metrics.js';
import {createNodeMetrics} from '../process/node_metrics.js';
import type {Endpoint, NodeSettings} from '../process/node_settings.js';
import type {PublishedDocuments} from '../process/published_documents.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import type {ServiceNode} from './service_node.js';
import {startServiceNode} from './service_node.js';

/** What a deployment brings. */
export interface NodeProgramOptions {
  readonly settingsPath: string;
  /** Reads the settings of now; throws what is wrong with them. */
  readonly readSettings: () => NodeSettings;
  readonly createDocuments: (settings: NodeSettings) => PublishedDocuments;
  readonly names: WireHeaders;
  /** Path at which readiness is asked for. */
  readonly readyPath: string;
}

/** Port on which a node serves its metrics and its state. */
const METRICS_PORT = 9464;

/** Interval at which the settings file is looked at for changes. */
const SETTINGS_CHECK_MILLIS = 1000;

const EXIT_FAILURE = 1;

/** Runs the program to its end. */
export async function runNodeProgram(
  options: NodeProgramOptions,
): Promise<void> {
  const settings = readFirstSettings(options);
  if (settings === undefined) return;
  const nowMillis = (): number => performance.now();
  const log = createDecisionLog(settings.nodeName, nowMillis);
  const metrics = createNodeMetrics();
  log.state('node-starting', {service: settings.service, zone: settings.zone});
  process.on('uncaughtException', error => {
    log.state('internal-error', {message: error.stack ?? error.message});
  });
  process.on('unhandledRejection', error => {
    log.state('internal-error', {message: describeError(error)});
  });
  try {
    const node = await startServiceNode({
      settings,
      names: options.names,
      documents: options.createDocuments(settings),
      log,
      metrics,
      nowMillis,
      random: Math.random,
    });
    await openReadyListener(settings.ready, options.readyPath, node);
    openOperatorListener(settings.hostAddress, {node, metrics, log});
    log.state('node-started', {startMillis: Math.round(nowMillis())});
    watchSettings(options, node, log);
    watchStop(node, log);
  } catch (error) {
    log.state('start-failed', {message: describeError(error)});
    process.exitCode = EXIT_FAILURE;
  }
}

function readFirstSettings(
  options: NodeProgramOptions,
): NodeSettings | undefined {
  try {
    return options.readSettings();
  } catch (error) {
    const message = `Settings '${options.settingsPath}': ${describeError(error)}`;
    process.stderr.write(`${message}\n`);
    process.exitCode = EXIT_FAILURE;
    return undefined;
  }
}

/** Answers whether this host may be given requests. */
async function openReadyListener(
  endpoint: Endpoint,
  readyPath: string,
  node: ServiceNode,
): Promise<void> {
  const server = createServer((request, response) => {
    const isAsked = request.url === readyPath;
    answer(response, isAsked ? (node.isReady() ? 200 : 503) : 404, '');
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(endpoint.port, endpoint.address, resolve);
  });
}

interface Shown {
  readonly node: ServiceNode;
  readonly metrics: NodeMetrics;
  readonly log: DecisionLog;
}

/** Serves metrics and state; a node serves without it if the port is taken. */
function openOperatorListener(address: string, shown: Shown): Server {
  const server = createServer((request, response) => {
    if (request.url === '/state') {
      answer(response, 200, JSON.stringify(shown.node.dump()));
      return;
    }
    void shown.metrics.text().then(text => {
      answer(response, 200, text);
    });
  });
  server.on('error', error => {
    shown.log.state('metrics-unavailable', {message: describeError(error)});
  });
  server.listen(METRICS_PORT, address);
  return server;
}

function answer(
  response: ServerResponse,
  statusCode: number,
  text: string,
): void {
  response.writeHead(statusCode, {'content-length': Buffer.byteLength(text)});
  response.end(text);
}

/** Looks at the settings again on SIGHUP and when the file has changed. */
function watchSettings(
  options: NodeProgramOptions,
  node: ServiceNode,
  log: DecisionLog,
): void {
  let changedMillis = modifiedMillis(options.settingsPath);
  const reload = (cause: string): void => {
    try {
      const outcome = node.applySettings(options.readSettings());
      log.state('settings-reloaded', {cause, outcome});
    } catch (error) {
      log.state('settings-refused', {cause, message: describeError(error)});
    }
  };
  process.on('SIGHUP', () => {
    reload('signal');
  });
  createIntervalTimer(SETTINGS_CHECK_MILLIS, () => {
    const modified = modifiedMillis(options.settingsPath);
    if (modified === changedMillis) return;
    changedMillis = modified;
    reload('file');
  });
}

function modifiedMillis(path: string): number {
  return statSync(path, {throwIfNoEntry: false})?.mtimeMs ?? 0;
}

function watchStop(node: ServiceNode, log: DecisionLog): void {
  process.once('SIGTERM', () => {
    log.state('node-stopping', {signal: 'SIGTERM'});
    void node.stop().then(() => {
      log.state('node-stopped');
      setTimeout(() => process.exit(0), EXIT_DELAY_MILLIS);
    });
  });
}

/** Time for the last log lines and answers to leave the process. */
const EXIT_DELAY_MILLIS = 100;
