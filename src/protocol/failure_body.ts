/**
 * JSON body and status code with which a failure is told to a caller or peer.
 */
import type {Failure, FailureReason, Outcome} from './outcome.js';

/** Body of a failure answer. */
export interface FailureBody {
  readonly outcome: Outcome;
  readonly reason: FailureReason;
  readonly step: string;
  readonly peer: string;
  readonly message: string;
  readonly retryAfterMillis?: number | undefined;
  readonly requestId: string;
}

const STATUS_CODES: Readonly<Record<FailureReason, number>> = {
  'malformed-request': 400,
  'body-too-large': 413,
  'unknown-service': 404,
  'unknown-route': 404,
  'key-required': 400,
  'key-malformed': 400,
  'key-conflict': 422,
  'key-outcome-unknown': 409,
  'key-home-unavailable': 503,
  'key-capacity': 503,
  'view-unconfirmed': 503,
  'version-unknown': 503,
  'no-policy': 503,
  shed: 503,
  'queue-full': 503,
  'queue-timeout': 503,
  draining: 503,
  'deadline-exceeded': 504,
  'no-host': 503,
  'connect-failed': 503,
  'connection-lost': 502,
  'answer-incomplete': 502,
  'answer-too-large': 502,
  'attempt-timeout': 504,
  cancelled: 499,
  'protocol-mismatch': 502,
  'internal-error': 500,
};

/** HTTP status code for a failure. */
export function statusCodeOf(reason: FailureReason): number {
  return STATUS_CODES[reason];
}

/** Whether a text is one of the known failure reasons. */
export function isFailureReason(text: string): text is FailureReason {
  return Object.hasOwn(STATUS_CODES, text);
}

/** Encodes the body of a failure answer. */
export function encodeFailureBody(failure: Failure, requestId: string): Buffer {
  const body: FailureBody = {
    outcome: failure.outcome,
    reason: failure.reason,
    step: failure.step,
    peer: failure.peer,
    message: failure.message,
    retryAfterMillis: failure.retryAfterMillis,
    requestId,
  };
  return Buffer.from(`${JSON.stringify(body)}\n`);
}

/** Reads the message of a failure body; empty when it is not one. */
export function decodeFailureMessage(bytes: Buffer): string {
  try {
    const body = JSON.parse(bytes.toString('utf8')) as Partial<FailureBody>;
    return typeof body.message === 'string' ? body.message : '';
  } catch {
    return '';
  }
}
