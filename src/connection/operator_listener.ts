/**
 * Read-only HTTP/1.1 listener for operators.
 */
import {createHash} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {describeError} from '../base/errors.js';
import type {Endpoint} from '../process/settings/node_settings.js';

/** Data that the listener serves. */
export interface OperatorView {
  readonly nodeName: string;
  /** What the node still waits for before it can serve; empty if ready. */
  waitingFor(): readonly string[];
  /** Metrics in the Prometheus text format. */
  metricsText(): Promise<string>;
  /** Sections of the state, by name. */
  state(): Readonly<Record<string, unknown>>;
  /** The configuration in force, as published. */
  configuration(): PublishedConfiguration | undefined;
}

/** A published configuration. */
export interface PublishedConfiguration {
  readonly version: number;
  readonly document: string;
}

/** Response header with the version of the configuration. */
export const CONFIGURATION_VERSION_HEADER =
  'fulmarhollow-configuration-version';

const STATE_SECTION_PREFIX = '/state/';
const AVAILABLE_PATHS =
  '/health, /ready, /state, /state/SECTION, /metrics, /configuration';

/** Maximum number of open connections of operators and their tools. */
const MAX_CONNECTIONS_COUNT = 64;

/** Opens the listener; rejects if the address cannot be bound. */
export async function openOperatorListener(
  endpoint: Endpoint,
  view: OperatorView,
): Promise<Server> {
  const server = createServer((request, response) => {
    handleRequest(view, request, response).catch((error: unknown) => {
      sendError(response, view, 500, describeError(error));
    });
  });
  server.maxConnections = MAX_CONNECTIONS_COUNT;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(endpoint.port, endpoint.address, resolve);
  });
  return server;
}

async function handleRequest(
  view: OperatorView,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (request.method !== 'GET') {
    response.setHeader('allow', 'GET');
    sendError(response, view, 405, 'This listener only reads.');
    return;
  }
  const [path = ''] = (request.url ?? '').split('?', 1);
  switch (path) {
    case '/health':
      sendJson(response, 200, {status: 'running'});
      return;
    case '/ready':
      sendReady(response, view);
      return;
    case '/state':
      sendJson(response, 200, view.state());
      return;
    case '/metrics':
      response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
      response.end(await view.metricsText());
      return;
    case '/configuration':
      sendConfiguration(response, view);
      return;
    default:
      sendSection(response, view, path);
  }
}

function sendReady(response: ServerResponse, view: OperatorView): void {
  const reasons = view.waitingFor();
  const isReady = reasons.length === 0;
  sendJson(response, isReady ? 200 : 503, {ready: isReady, reasons});
}

/** Sends the document unmodified, so that clients can compare its digest. */
function sendConfiguration(response: ServerResponse, view: OperatorView): void {
  const configuration = view.configuration();
  if (configuration === undefined) {
    sendError(response, view, 503, 'No configuration is in force yet.');
    return;
  }
  const digest = createHash('sha256')
    .update(configuration.document)
    .digest('hex');
  response.writeHead(200, {
    'content-type': 'application/json',
    etag: `"${digest}"`,
    [CONFIGURATION_VERSION_HEADER]: String(configuration.version),
  });
  response.end(configuration.document);
}

function sendSection(
  response: ServerResponse,
  view: OperatorView,
  path: string,
): void {
  if (!path.startsWith(STATE_SECTION_PREFIX)) {
    sendError(
      response,
      view,
      404,
      `No such path; there are ${AVAILABLE_PATHS}.`,
    );
    return;
  }
  const sections = view.state();
  const name = path.slice(STATE_SECTION_PREFIX.length);
  if (Object.hasOwn(sections, name)) {
    sendJson(response, 200, sections[name]);
    return;
  }
  const names = Object.keys(sections).sort().join(', ');
  sendError(response, view, 404, `No such state section; there are ${names}.`);
}

function sendError(
  response: ServerResponse,
  view: OperatorView,
  statusCode: number,
  message: string,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const body = {step: 'operator-read', peer: view.nodeName, message};
  sendJson(response, statusCode, body);
}

function sendJson(
  response: ServerResponse,
  statusCode: number,
  content: unknown,
): void {
  const body = Buffer.from(`${JSON.stringify(content, undefined, 2)}\n`);
  response.writeHead(statusCode, {
    'content-type': 'application/json',
    'content-length': body.length,
  });
  response.end(body);
}
