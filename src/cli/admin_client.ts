/**
 * HTTP client for the administration listeners of nodes.
 */
import * as http from 'node:http';

import {
  CapacityError,
  InvalidInputError,
  TransportError,
} from '../base/errors.js';

/** Address of an administration listener. */
export interface AdminAddress {
  readonly host: string;
  readonly port: number;
  /** The address as given on the command line. */
  readonly text: string;
}

const ADDRESS_PATTERN =
  /^(?:\[(?<v6>[0-9a-fA-F:.]+)\]|(?<plain>[^:[\]/\s]+)):(?<port>\d{1,5})$/;
const PORT_MAXIMUM = 65_535;
const RESPONSE_TIMEOUT_MILLIS = 5000;
const RESPONSE_MAXIMUM_BYTES = 16_777_216;
const STATUS_OK = 200;

/**
 * Parses `address:port`, with an IPv6 address in brackets; throws
 * `InvalidInputError` for anything else.
 */
export function parseAdminAddress(text: string): AdminAddress {
  const groups = ADDRESS_PATTERN.exec(text)?.groups;
  const host = groups?.['v6'] ?? groups?.['plain'];
  const port = Number(groups?.['port']);
  if (host !== undefined && port >= 1 && port <= PORT_MAXIMUM) {
    return {host, port, text};
  }
  const message = `${JSON.stringify(text)} is not a host; allowed: address:port of an administration listener.`;
  throw new InvalidInputError(message, {props: {step: 'arguments'}});
}

/**
 * Fetches a JSON document. Rejects with a `TransportError` that has the failed
 * step and the peer.
 */
export async function fetchAdminJson(
  address: AdminAddress,
  path: string,
): Promise<unknown> {
  const peer = address.text;
  const signal = AbortSignal.timeout(RESPONSE_TIMEOUT_MILLIS);
  const response = await sendGetRequest(address, path, signal);
  const text = await readResponseText(response, peer);
  const content = parseJson(text, peer);
  if (response.statusCode === STATUS_OK) return content;
  const message = `HTTP ${String(response.statusCode)}: ${errorMessageOf(content)}`;
  throw new TransportError(message, {props: {step: 'answer', peer}});
}

async function sendGetRequest(
  address: AdminAddress,
  path: string,
  signal: AbortSignal,
): Promise<http.IncomingMessage> {
  const {host, port} = address;
  const props = {step: 'connect', peer: address.text};
  return await new Promise((resolve, reject) => {
    const request = http.get({host, port, path, signal, agent: false}, resolve);
    request.on('error', cause => {
      reject(new TransportError('No response:', {cause, props}));
    });
  });
}

async function readResponseText(
  response: http.IncomingMessage,
  peer: string,
): Promise<string> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      sizeBytes += chunk.byteLength;
      if (sizeBytes > RESPONSE_MAXIMUM_BYTES) {
        const message = `The response is larger than ${String(RESPONSE_MAXIMUM_BYTES)} bytes`;
        throw new CapacityError(message);
      }
      chunks.push(chunk);
    }
  } catch (cause) {
    const props = {step: 'read-answer', peer};
    throw new TransportError('The response is incomplete:', {cause, props});
  }
  return Buffer.concat(chunks).toString('utf8');
}

function parseJson(text: string, peer: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    const message =
      'The response is not JSON; check that this is the administration port:';
    const props = {step: 'read-answer', peer};
    throw new TransportError(message, {cause, props});
  }
}

function errorMessageOf(content: unknown): string {
  if (typeof content !== 'object' || content === null) return '';
  return 'message' in content ? String(content.message) : '';
}
