/**
 * Response bodies that name the request they belong to, so that a client
 * detects a truncated response or the response to another request.
 */
import {createHash} from 'node:crypto';

/** Header of a response body, sent as JSON in its first line. */
export interface ResponseBodyHeader {
  readonly request: string;
  readonly service: string;
  readonly host: string;
  readonly path: string;
  /** SHA-256 of the request's body, hex; empty when it had none. */
  readonly requestDigest: string;
  /** Status codes of the downstream calls made for the request. */
  readonly calls: readonly number[];
  /** Bytes after the first line. */
  readonly paddingBytes: number;
}

/** Header fields that the client expects, taken from its request. */
export interface ExpectedResponse {
  readonly request: string;
  readonly path: string;
  readonly requestDigest: string;
}

const LINE_FEED = 0x0a;

/** Returns the SHA-256 of a request body in hex, or '' for an empty body. */
export function hashBody(body: Uint8Array | undefined): string {
  if (body === undefined || body.byteLength === 0) return '';
  return createHash('sha256').update(body).digest('hex');
}

/** Creates a body of at least `totalBytes`, padded with the request's name. */
export function createResponseBody(
  header: Omit<ResponseBodyHeader, 'paddingBytes'>,
  totalBytes: number,
): Buffer {
  const unpaddedBytes = JSON.stringify({...header, paddingBytes: 0}).length + 1;
  const paddingBytes = Math.max(0, totalBytes - unpaddedBytes);
  const line = Buffer.from(`${JSON.stringify({...header, paddingBytes})}\n`);
  return Buffer.concat([line, createPadding(header.request, paddingBytes)]);
}

/**
 * Returns a description of the first problem of a body, or undefined if it is
 * complete and belongs to the expected request.
 */
export function findResponseProblem(
  body: Buffer,
  expected: ExpectedResponse,
): string | undefined {
  const headerEnd = body.indexOf(LINE_FEED);
  if (headerEnd < 0) return 'answer without a first line';
  let header: ResponseBodyHeader;
  try {
    header = JSON.parse(
      body.subarray(0, headerEnd).toString(),
    ) as ResponseBodyHeader;
  } catch {
    return 'first line is not JSON';
  }
  if (header.request !== expected.request) {
    return `answer belongs to request '${header.request}'`;
  }
  if (header.path !== expected.path) {
    return `answer belongs to '${header.path}'`;
  }
  if (header.requestDigest !== expected.requestDigest) {
    return 'answer belongs to a request with another body';
  }
  const padding = body.subarray(headerEnd + 1);
  if (padding.byteLength !== header.paddingBytes) {
    return `answer has ${String(padding.byteLength)} of ${String(header.paddingBytes)} bytes`;
  }
  const isIntact = padding.equals(
    createPadding(header.request, header.paddingBytes),
  );
  return isIntact ? undefined : 'answer has altered bytes';
}

function createPadding(request: string, paddingBytes: number): Buffer {
  return Buffer.alloc(paddingBytes, `${request};`);
}
