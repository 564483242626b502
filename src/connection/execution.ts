/**
 * Execution of one attempt of a request at a local or remote upstream.
 */
import type {CallCounts} from '../process/admission/call_trees.js';
import type {CallOrigin} from '../process/retries/in_flight_parents.js';
import type {RequestCancelSignal} from '../protocol/cancel_cause.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {RawHeaders} from './raw_headers.js';
import type {ReceivedResponse} from './received_response.js';

/** What suggests that an upstream has ended. */
export type SuspicionCause =
  /** Its node cannot connect to it. */
  | 'upstream-lost'
  /** Its node does not reply. */
  | 'silent';

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
  readonly cancel: RequestCancelSignal;
  /**
   * Called when the upstream or its node may have ended while the request may be running.
   * The attempt continues; its caller decides whether another one is started.
   */
  readonly onSuspected?: ((cause: SuspicionCause) => void) | undefined;
}

/** Why it is certain that an attempt has not run and will not run. */
export type NotRunEvidence =
  /** The request, or its body, has not left this node. */
  | 'not-sent'
  /** The other node never received the request and refuses it from now on. */
  | 'not-received'
  /** The node of the upstream did not dispatch it. */
  | 'not-dispatched'
  /** The upstream responded to this request that it did not execute it. */
  | 'rejected';

/** Evidence of a refusal by the node of the upstream, by its reason. */
export function refusalEvidence(reason: HopReason): NotRunEvidence {
  const isRejected = reason === 'not-executed' || reason === 'misdirected';
  return isRejected ? 'rejected' : 'not-dispatched';
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
      readonly evidence: NotRunEvidence;
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
