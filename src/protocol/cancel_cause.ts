/**
 * Why the work on a request is cancelled.
 */
import type {CancelSignal, CancelSource} from '../base/cancel_signal.js';

const CANCEL_CAUSES = [
  /** The deadline of the request has passed. */
  'deadline',
  /** The client closed its connection. */
  'client-left',
  /** The entry node reached the end of its grace period. */
  'stopping',
  /** Another attempt that replaced this one was answered first. */
  'timeout',
  /** The sending node no longer needs the response. */
  'cancelled',
  /** The connection to the sending node was lost, and not replaced in time. */
  'sender-lost',
] as const;

export type CancelCause = (typeof CANCEL_CAUSES)[number];

/** Notifies the work on a request that it was cancelled. */
export type RequestCancelSignal = CancelSignal<CancelCause>;

/** Owns a signal of a request and cancels it. */
export type RequestCancelSource = CancelSource<CancelCause>;

const CAUSES: ReadonlySet<string> = new Set(CANCEL_CAUSES);

/** Whether the reason of a result says that the work was cancelled. */
export function isCancelCause(reason: string): reason is CancelCause {
  return CAUSES.has(reason);
}
