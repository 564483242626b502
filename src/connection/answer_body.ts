/**
 * Body of an answer on its way from an upstream to a caller.
 */
import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';

/** A body received completely and checked. */
export interface WholeBody {
  readonly kind: 'whole';
  readonly bytes: Buffer;
}

/** A body too large to hold, passed on while it arrives. */
export interface StreamedBody {
  readonly kind: 'streamed';
  /** What was received before the decision to stream. */
  readonly head: readonly Buffer[];
  /** The rest; ends with an error when the sender breaks off. */
  readonly source: IncomingMessage;
  /** Declared length of the whole body, if declared. */
  readonly lengthBytes: number | undefined;
  /** SHA-256 the sender declared for the whole body, base64, if declared. */
  readonly declaredDigest: string | undefined;
}

/** Body of an answer. */
export type AnswerBody = WholeBody | StreamedBody;

/** SHA-256 of a whole body, base64url. */
export function digestOf(bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('base64url');
}

/** Whether a SHA-256, base64, is the declared one or none was declared. */
export function matchesDeclared(
  actual: string,
  declared: string | undefined,
): boolean {
  return declared === undefined || declared === actual;
}

const SHA_256_FIELD = /(?:^|,)\s*sha-256=:([A-Za-z0-9+/=]+):/;

/** SHA-256 declared in a Content-Digest header (RFC 9530), base64. */
export function declaredSha256(
  contentDigest: string | undefined,
): string | undefined {
  return contentDigest === undefined
    ? undefined
    : SHA_256_FIELD.exec(contentDigest)?.[1];
}
