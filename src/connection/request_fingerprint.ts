/**
 * Fingerprints of a request that stay the same when the caller retries it
 * through any node.
 */
import {createHash} from 'node:crypto';
import type {RawHeaders} from './raw_headers.js';
import {findHeader} from './received_response.js';

/** Fields of a request that its fingerprints cover. */
export interface FingerprintedRequest {
  /** Service on whose host the request originated. */
  readonly callerService: string;
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/** Fingerprints of one request. */
export interface RequestFingerprints {
  /** Digest of method, host, target and body. */
  readonly content: string;
  /** Digest of the above and the service of the caller. */
  readonly contentAndCaller: string;
}

/** Length of a fingerprint in bytes; its text form is a third longer. */
const FINGERPRINT_BYTES = 12;

/** Computes both fingerprints in one pass over the body. */
export function computeFingerprints(
  request: FingerprintedRequest,
): RequestFingerprints {
  const {method, target, headers, body} = request;
  const host = findHeader(headers, 'host') ?? '';
  const content = computeDigest([method, host, target].join('\n'), body);
  return {
    content,
    contentAndCaller: computeDigest(content, request.callerService),
  };
}

function computeDigest(first: string, second: string | Buffer): string {
  return createHash('sha256')
    .update(`${first}\n`)
    .update(second)
    .digest()
    .subarray(0, FINGERPRINT_BYTES)
    .toString('base64url');
}
