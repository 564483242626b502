/**
 * Error classes that name the step and the peer at which a failure arose.
 */
import ModernError from 'modern-errors';

/** Where a failure arose. */
export interface FailureOrigin {
  /** Stage of the work, for example `connect`, `admission`, `read-body`. */
  readonly step: string;
  /** Host name or address of the other side; the own host when local. */
  readonly peer: string;
}

/** Base of every error this project raises. */
export const BaseError = ModernError.subclass('BaseError', {
  props: {step: 'unspecified', peer: 'local'},
});

/** Input from outside that does not meet its contract. */
export const InvalidInputError = BaseError.subclass('InvalidInputError');

/** A transport or protocol failure between two processes. */
export const TransportError = BaseError.subclass('TransportError');

/** A bounded resource is full. */
export const CapacityError = BaseError.subclass('CapacityError');

/** Text of an unknown thrown value, for messages and logs. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
