/**
 * Error classes that carry the step and the peer of a failure.
 */
import ModernError from 'modern-errors';

/** Where a failure occurred. */
export interface FailureOrigin {
  /** Stage of the work, for example `connect`, `admission`, `read-body`. */
  readonly step: string;
  /** Host name or address of the remote side; this host for local failures. */
  readonly peer: string;
}

/** Base class of all errors thrown by this project. */
export const BaseError = ModernError.subclass('BaseError', {
  props: {step: 'unspecified', peer: 'local'},
});

/** External input that violates its contract. */
export const InvalidInputError = BaseError.subclass('InvalidInputError');

/** A transport or protocol failure between two processes. */
export const TransportError = BaseError.subclass('TransportError');

/** A bounded resource is full. */
export const CapacityError = BaseError.subclass('CapacityError');

/**
 * Returns the message of a thrown value of unknown type, for errors and logs.
 */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
