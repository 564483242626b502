/**
 * Answer bodies that name the request they belong to, so that a client notices
 * a fragment or another request's answer.
 */
import {createHash} from 'node:crypto';

/** What a body states about itself, as its first line. */
export interface AnswerHead {
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
export interface ExpectedAnswer {
  readonly request: string;
  readonly path: string;
  readonly requestDigest: string;
}

const LINE_FEED = 0x0a;

/** SHA-256 in hex of a request body; empty text for an empty body. */
export function digestOf(body: Uint8Array | undefined): string {
  if (body === undefined || body.byteLength === 0) return '';
  return createHash('sha256').update(body).digest('hex');
}

/** Builds a body of at least `totalBytes`, padded with the request's name. */
export function createAnswerBody(
  head: Omit<AnswerHead, 'paddingBytes'>,
  totalBytes: number,
): Buffer {
  const bareBytes = JSON.stringify({...head, paddingBytes: 0}).length + 1;
  const paddingBytes = Math.max(0, totalBytes - bareBytes);
  const line = Buffer.from(`${JSON.stringify({...head, paddingBytes})}\n`);
  return Buffer.concat([line, createPadding(head.request, paddingBytes)]);
}

/** Tells what is wrong with a body, or undefined when it is whole and own. */
export function findAnswerProblem(
  body: Buffer,
  expected: ExpectedAnswer,
): string | undefined {
  const end = body.indexOf(LINE_FEED);
  if (end < 0) return 'answer without a first line';
  let head: AnswerHead;
  try {
    head = JSON.parse(body.subarray(0, end).toString()) as AnswerHead;
  } catch {
    return 'first line is not JSON';
  }
  if (head.request !== expected.request) {
    return `answer belongs to request '${head.request}'`;
  }
  if (head.path !== expected.path) return `answer belongs to '${head.path}'`;
  if (head.requestDigest !== expected.requestDigest) {
    return 'answer belongs to a request with another body';
  }
  const padding = body.subarray(end + 1);
  if (padding.byteLength !== head.paddingBytes) {
    return `answer has ${String(padding.byteLength)} of ${String(head.paddingBytes)} bytes`;
  }
  const isIntact = padding.equals(
    createPadding(head.request, head.paddingBytes),
  );
  return isIntact ? undefined : 'answer has altered bytes';
}

function createPadding(request: string, paddingBytes: number): Buffer {
  return Buffer.alloc(paddingBytes, `${request};`);
}
