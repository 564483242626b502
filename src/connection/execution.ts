/**
 * Execution of one attempt of a request at a local or remote upstream.
 */
import type {CancelSignal} from '../base/cancel_signal.js';
import type {CallCounts} from '../process/admission/call_trees.js';
import type {CallOrigin} from '../process/retries/in_flight_parents.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {RawHeaders} from './raw_headers.js';
import type {ReceivedResponse} from './received_response.js';

/** One attempt. */
export interface ExecutionCall {
  readonly attemptId: string;
  /** Service on whose host the request originated. */
  readonly callerService: string;
  readonly method: string;
  readonly target: string;
  /** Without connection headers and headers that nodes set. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly isRepeatable: boolean;
  readonly origin: CallOrigin;
  /** On the clock of this node. */
  readonly deadlineMillis: number;
  /** Latest start at the upstream that can still meet the deadline. */
  readonly startByMillis: number;
  /**
   * Usual duration of similar requests at this service, once one has completed.
   */
  readonly usualMillis?: number | undefined;
  readonly cancel: CancelSignal;
}

/** Result of an attempt. */
export type ExecutionResult =
  | {
      readonly kind: 'answered';
      readonly answer: ReceivedResponse;
      /** Downstream calls made on behalf of the request, by service. */
      readonly calls: CallCounts;
      /** A call made on behalf of the request failed. */
      readonly hasFailedCall: boolean;
    }
  /** Not run, and it will not run. */
  | {
      readonly kind: 'refused';
      readonly reason: HopReason;
    }
  /** It may have run. */
  | {
      readonly kind: 'unknown';
      readonly reason: HopReason;
      readonly hasFailedCall: boolean;
      /**
       * Number of crashes while the request ran; set if its upstream crashed.
       */
      readonly crashesCount?: number | undefined;
    };
