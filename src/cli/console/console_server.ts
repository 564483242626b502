/**
 * HTTP server of the console; listens on the loopback interface only.
 */
import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import {createPageHandler} from './console_pages.js';
import type {PageHandler} from './console_pages.js';
import type {ConsoleSession} from './console_session.js';
import type {HttpResponse} from './http_response.js';
import {pageResponse, sendResponse, textResponse} from './http_response.js';
import {renderErrorPage} from './page_renderer.js';
import type {GuardOptions} from './request_guard.js';
import {checkRequest} from './request_guard.js';
import {
  CapacityError,
  describeError,
  InvalidInputError,
  TransportError,
} from '../../base/errors.js';
import type {Disposable} from '../../base/lifecycle.js';
import {toDisposable} from '../../base/lifecycle.js';

/** A listening console. */
export interface ConsoleServer extends Disposable {
  /** URL with the access token; anyone who has it can use the console. */
  readonly url: string;
}

/** Options of the server. */
export interface ConsoleServerOptions {
  readonly session: ConsoleSession;
  /** 0 selects any free port. */
  readonly port: number;
  /** Called for internal failures, which are not caused by input. */
  readonly onFailure: (message: string) => void;
}

const LOOPBACK = '127.0.0.1';
const TOKEN_BYTES = 32;
const MAX_CONNECTIONS_COUNT = 64;
const REQUEST_TIMEOUT_MILLIS = 30_000;

/** Starts the server; rejects if the port is already in use. */
export async function createConsoleServer(
  options: ConsoleServerOptions,
): Promise<ConsoleServer> {
  const token = randomBytes(TOKEN_BYTES).toString('base64url');
  const handle = createPageHandler(options.session);
  const server = http.createServer({requestTimeout: REQUEST_TIMEOUT_MILLIS});
  server.maxConnections = MAX_CONNECTIONS_COUNT;
  server.listen(options.port, LOOPBACK);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.on('request', (request, serverResponse) => {
    const guard = {token, port};
    void handleRequest(request, guard, handle, options.onFailure).then(
      response => {
        // The unread rest of a rejected body would be parsed as the next request.
        if (!request.complete) serverResponse.setHeader('connection', 'close');
        sendResponse(serverResponse, response);
      },
    );
  });
  const closing = toDisposable(() => {
    server.close();
    server.closeAllConnections();
  });
  const url = `http://${LOOPBACK}:${String(port)}/${token}/`;
  return {url, dispose: closing.dispose};
}

async function handleRequest(
  request: http.IncomingMessage,
  guard: GuardOptions,
  handle: PageHandler,
  onFailure: (message: string) => void,
): Promise<HttpResponse> {
  const result = checkRequest(request, guard);
  if (result.kind === 'refused') {
    return textResponse(result.statusCode, result.message);
  }
  try {
    return await handle(request, result.page);
  } catch (error) {
    return createFailureResponse(error, onFailure);
  }
}

function createFailureResponse(
  error: unknown,
  onFailure: (message: string) => void,
): HttpResponse {
  const message = describeError(error);
  if (error instanceof CapacityError) {
    return pageResponse(413, renderErrorPage('The form is too large', message));
  }
  if (error instanceof InvalidInputError || error instanceof TransportError) {
    return pageResponse(400, renderErrorPage('The form was not read', message));
  }
  onFailure(message);
  return pageResponse(500, renderErrorPage('The console failed', message));
}
