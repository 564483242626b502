/**
 * Identity of a request beyond one attempt: what stays the same when its caller
 * sends it again, through whichever node.
 */
import {createHash} from 'node:crypto';
import type {RawHeaders} from './raw_headers.js';
import {findHeader} from './received_response.js';

/** A request with all that its fingerprints cover. */
export interface FingerprintedRequest {
  /** Service on whose host the request began. */
  readonly callerService: string;
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/** Fingerprints of one request. */
export interface RequestFingerprints {
  /** Of method, host, target and body. */
  readonly content: string;
  /** Of these and the service of the caller. */
  readonly contentAndCaller: string;
}

/** Length of a fingerprint; texts take a third more. */
const FINGERPRINT_BYTES = 12;

/** Computes both fingerprints; costs one pass over the body. */
export function computeFingerprints(
  request: FingerprintedRequest,
): RequestFingerprints {
  const {method, target, headers, body} = request;
  const host = findHeader(headers, 'host') ?? '';
  const content = digestOf([method, host, target].join('\n'), body);
  return {
    content,
    contentAndCaller: digestOf(content, request.callerService),
  };
}

function digestOf(first: string, second: string | Buffer): string {
  return createHash('sha256')
    .update(`${first}\n`)
    .update(second)
    .digest()
    .subarray(0, FINGERPRINT_BYTES)
    .toString('base64url');
}
