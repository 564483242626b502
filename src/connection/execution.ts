/**
 * Execution of one attempt of a request at one upstream, here or elsewhere.
 */
import type {CancelSignal} from '../base/cancel_signal.js';
import type {CallCounts} from '../process/admission/call_trees.js';
import type {CallOrigin} from '../process/repeats/in_flight_parents.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {RawHeaders} from './raw_headers.js';
import type {ReceivedResponse} from './received_response.js';

/** One attempt. */
export interface ExecutionCall {
  readonly attemptId: string;
  /** Service on whose host the request began. */
  readonly callerService: string;
  readonly method: string;
  readonly target: string;
  /** Without headers that concern one connection or that nodes set. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly isRepeatable: boolean;
  readonly origin: CallOrigin;
  /** On this node's clock. */
  readonly deadlineMillis: number;
  /** Latest useful start at the upstream. */
  readonly startByMillis: number;
  /** What its like usually takes at this service, if any was answered. */
  readonly usualMillis?: number | undefined;
  readonly cancel: CancelSignal;
}

/** What came of an attempt. */
export type ExecutionResult =
  | {
      readonly kind: 'answered';
      readonly answer: ReceivedResponse;
      /** Calls that were made for the request, by service. */
      readonly calls: CallCounts;
      /** A call made for the request failed. */
      readonly hasFailedCall: boolean;
    }
  /** Not run, and it will not be. */
  | {
      readonly kind: 'refused';
      readonly reason: HopReason;
    }
  /** It may have run. */
  | {
      readonly kind: 'unknown';
      readonly reason: HopReason;
      readonly hasFailedCall: boolean;
      /** Crashes under the request so far, if its upstream crashed. */
      readonly crashesCount?: number | undefined;
    };
