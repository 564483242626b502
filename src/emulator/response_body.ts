/**
 * Answer bodies that name the request they belong to, so that a client notices
 * a fragment or another request's answer.
 */
import {createHash} from 'node:crypto';

/** What a body states about itself, as its first line. */
export interface ResponseBodyHeader {
  readonly request: string;
  readonly service: string;
  readonly host: string;
  readonly path: string;
  /** SHA-256 of the request's body, hex; empty when it had none. */
  readonly requestDigest: string;
  /** Status codes of the calls made on the request's behalf. */
  readonly calls: readonly number[];
  /** Bytes after the first line. */
  readonly paddingBytes: number;
}

/** What the client of an answer knows about its own request. */
export interface ExpectedResponse {
  readonly request: string;
  readonly path: string;
  readonly requestDigest: string;
}

const LINE_FEED = 0x0a;

/** SHA-256 in hex of a request body; empty text for an empty body. */
export function hashBody(body: Uint8Array | undefined): string {
  if (body === undefined || body.byteLength === 0) return '';
  return createHash('sha256').update(body).digest('hex');
}

/** Builds a body of at least `totalBytes`, padded with the request's name. */
export function createResponseBody(
  header: Omit<ResponseBodyHeader, 'paddingBytes'>,
  totalBytes: number,
): Buffer {
  const unpaddedBytes = JSON.stringify({...header, paddingBytes: 0}).length + 1;
  const paddingBytes = Math.max(0, totalBytes - unpaddedBytes);
  const line = Buffer.from(`${JSON.stringify({...header, paddingBytes})}\n`);
  return Buffer.concat([line, createPadding(header.request, paddingBytes)]);
}

/** Tells what is wrong with a body, or undefined when it is whole and own. */
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
