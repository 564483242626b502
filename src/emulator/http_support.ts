/**
 * HTTP helpers shared by the emulated systems: listening, reading message
 * bodies and sending requests.
 */
import * as http from 'node:http';
import type {AddressInfo, Server, Socket} from 'node:net';
import {BaseError, TransportError, describeError} from '../base/errors.js';

/** Default address: the emulated systems use the loopback interface only. */
export const LOOPBACK_ADDRESS = '127.0.0.1';

/** Limit of a message body that the emulated systems buffer in memory. */
const MAXIMUM_MESSAGE_BYTES = 256 * 1024 * 1024;

/** Listens on a port (0 for any free one) and resolves with the actual port. */
export function listen(
  server: Server,
  address: string,
  port: number,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      server.off('error', reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** Closes an HTTP server and all its open connections. */
export function closeServer(server: http.Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}

/** Reads a message body; rejects if it is aborted or exceeds the limit. */
export async function readBody(message: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let lengthBytes = 0;
  for await (const chunk of message as AsyncIterable<Buffer>) {
    lengthBytes += chunk.byteLength;
    if (lengthBytes > MAXIMUM_MESSAGE_BYTES) {
      throw new TransportError('message too large', {
        props: {step: 'read-message'},
      });
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Sends a response with a JSON body. */
export function sendJson(
  response: http.ServerResponse,
  statusCode: number,
  content: unknown,
): void {
  const body = Buffer.from(JSON.stringify(content));
  response.writeHead(statusCode, {
    'content-type': 'application/json',
    'content-length': body.byteLength,
  });
  response.end(body);
}

/** Options of one HTTP request. */
export interface HttpRequestOptions {
  readonly address: string;
  readonly port: number;
  readonly method?: string | undefined;
  readonly path: string;
  readonly headers?: http.OutgoingHttpHeaders | undefined;
  readonly body?: Uint8Array | undefined;
  readonly agent?: http.Agent | undefined;
  readonly signal?: AbortSignal | undefined;
}

/** A complete response. */
export interface HttpResponse {
  readonly statusCode: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/**
 * Sends one request and reads the complete response; rejects with a
 * TransportError if the connection fails or the response is aborted.
 */
export function sendHttpRequest(
  options: HttpRequestOptions,
): Promise<HttpResponse> {
  const peer = `${options.address}:${String(options.port)}`;
  return new Promise((resolve, reject) => {
    const fail = (step: string, error: unknown): void => {
      reject(new TransportError(describeError(error), {props: {step, peer}}));
    };
    const request = http.request(
      {
        host: options.address,
        port: options.port,
        method: options.method ?? 'GET',
        path: options.path,
        headers: {
          ...options.headers,
          'content-length': options.body?.byteLength ?? 0,
        },
        agent: options.agent,
        signal: options.signal,
      },
      message => {
        readBody(message).then(
          body => {
            resolve({
              statusCode: message.statusCode ?? 0,
              headers: message.headers,
              body,
            });
          },
          (error: unknown) => {
            fail('read-answer', error);
          },
        );
      },
    );
    request.on('error', error => {
      fail('send-request', error);
    });
    request.end(options.body);
  });
}

/**
 * Sends JSON, or bytes as they are, to a control port and returns the parsed
 * response; rejects with a BaseError unless the status is 200.
 */
export async function sendControlRequest(
  port: number,
  method: string,
  path: string,
  content?: unknown,
): Promise<unknown> {
  const response = await sendHttpRequest({
    address: LOOPBACK_ADDRESS,
    port,
    method,
    path,
    body: encodeContent(content),
    agent: new http.Agent({keepAlive: false}),
  });
  if (response.statusCode !== 200) {
    throw new BaseError(
      `${method} ${path}: ${String(response.statusCode)} ${response.body.toString()}`,
      {props: {step: 'control', peer: `port ${String(port)}`}},
    );
  }
  return JSON.parse(response.body.toString()) as unknown;
}

function encodeContent(content: unknown): Uint8Array | undefined {
  if (content === undefined) return undefined;
  if (content instanceof Uint8Array) return content;
  return Buffer.from(JSON.stringify(content));
}

/** Handles one control request; the result is sent as JSON. */
export type ControlHandler = (
  method: string,
  path: string,
  body: Buffer,
) => unknown;

/**
 * Creates the server of a control port. It responds with 400 and the message if
 * the handler throws, and with 404 if the handler returns undefined.
 */
export function createControlServer(handler: ControlHandler): http.Server {
  return http.createServer((request, response) => {
    readBody(request)
      .then(body => handler(request.method ?? '', request.url ?? '/', body))
      .then(content => {
        if (content === undefined) sendJson(response, 404, 'no such operation');
        else sendJson(response, 200, content);
      })
      .catch((error: unknown) => {
        sendJson(response, 400, describeError(error));
      });
  });
}

/** Returns a live set of a server's open connections, which `http` lacks. */
export function trackSockets(server: Server): ReadonlySet<Socket> {
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.on('error', () => {
      // Clients of the emulated systems reset connections on purpose.
    });
    socket.once('close', () => sockets.delete(socket));
  });
  return sockets;
}
