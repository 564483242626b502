/**
 * A request to another node, independent of the connection that carries it.
 */
import {randomBytes} from 'node:crypto';
import type {CancelCause} from '../protocol/cancel_cause.js';
import type {HopResponse, HopRequest} from '../protocol/hop_messages.js';
import {encodeHopRequest} from '../protocol/hop_request_codec.js';
import type {NotRunEvidence, SuspicionCause} from './execution.js';
import type {ReceivedResponse} from './received_response.js';

/** How a hop ended. */
export type HopResult =
  | {
      readonly kind: 'answer';
      readonly answer: HopResponse;
      /** Response of the upstream, if there is one. */
      readonly received: ReceivedResponse | undefined;
    }
  /** The other node has not received the complete request and never will. */
  | {
      readonly kind: 'not-run';
      readonly reason: HopFailureReason;
      readonly evidence: Extract<NotRunEvidence, 'not-sent' | 'not-received'>;
    }
  /** It may have run. */
  | {readonly kind: 'lost'; readonly reason: HopFailureReason};

/** Why a hop ended without a response. */
export type HopFailureReason =
  CancelCause | 'unreachable' | 'silent' | 'connection-lost' | 'broken-answer';

/** A hop, as used by connections. */
export interface OutgoingHop {
  readonly hopId: string;
  readonly startedMillis: number;
  /** Payload of the request frame. */
  readonly request: Buffer;
  readonly body: Buffer;
  /** The body is sent only when the receiver requests it. */
  readonly isBodyHeldBack: boolean;
  /** The hop has not ended. */
  readonly isOpen: boolean;
  /** Sending the request to another node as well would do no harm. */
  readonly isResendable: boolean;
  /**
   * The other node does not reply, or may have ended. Ends a hop that has not been sent
   * completely, and returns whether it has ended; any other one may be running.
   */
  suspectNode(cause: SuspicionCause): boolean;
  /** The request has been sent completely: from now on it may run. */
  markSent(): void;
  /**
   * Instance id of the process that it was sent to; only that process can
   * report whether it ran.
   */
  instanceId: string | undefined;
  /** Removes the hop from its connection; set by that connection. */
  detach: () => void;
  /** The upstream may have ended while it runs the request. */
  readonly suspectUpstream: () => void;
  /** Ends with a response. */
  complete(response: HopResponse, received: ReceivedResponse | undefined): void;
  /**
   * The other node does not know the request. Ends as not run, unless that node has
   * requested its body and so must have received it.
   */
  failNotReceived(): void;
  /** Ends without a response; as not run if it was not sent completely. */
  fail(reason: HopFailureReason): void;
}

export interface OutgoingHopOptions {
  readonly request: Omit<HopRequest, 'hopId' | 'bodyForm'>;
  readonly body: Buffer;
  readonly startedMillis: number;
  readonly onSuspected?: ((cause: SuspicionCause) => void) | undefined;
  readonly onEnd: (result: HopResult) => void;
}

/**
 * Plain fields: accessors in an object literal make each hop costly to create.
 */
interface MutableOutgoingHop extends OutgoingHop {
  isOpen: boolean;
  isResendable: boolean;
}

/**
 * Bodies up to this size are sent in the request frame; most fit in one packet.
 */
const MAX_INLINE_BODY_BYTES = 65_536;

const EMPTY_BODY = Buffer.alloc(0);

/** Creates a hop that is not on a connection yet. */
export function createOutgoingHop(options: OutgoingHopOptions): OutgoingHop {
  const {request, body} = options;
  const {isRepeatable} = request;
  const hopId = createHopId();
  const isInline = isRepeatable && body.length <= MAX_INLINE_BODY_BYTES;
  const bodyForm = isInline ? 'inline' : isRepeatable ? 'follows' : 'held-back';
  let isSent = false;

  const finish = (result: HopResult): void => {
    if (!hop.isOpen) return;
    hop.isOpen = false;
    hop.detach();
    options.onEnd(result);
  };
  const hop: MutableOutgoingHop = {
    hopId,
    startedMillis: options.startedMillis,
    request: encodeHopRequest(
      {...request, hopId, bodyForm},
      isInline ? body : EMPTY_BODY,
    ),
    body: isInline ? EMPTY_BODY : body,
    isBodyHeldBack: bodyForm === 'held-back',
    isOpen: true,
    isResendable: true,
    suspectNode: cause => {
      if (!hop.isOpen) return false;
      if (isSent) {
        options.onSuspected?.(cause);
        return false;
      }
      hop.fail('silent');
      return true;
    },
    markSent: () => {
      isSent = true;
      hop.isResendable = isRepeatable;
    },
    instanceId: undefined,
    detach: () => undefined,
    suspectUpstream: () => {
      options.onSuspected?.('upstream-lost');
    },
    complete: (answer, received) => {
      finish({kind: 'answer', answer, received});
    },
    failNotReceived: () => {
      finish(
        hop.isResendable
          ? {kind: 'not-run', reason: 'silent', evidence: 'not-received'}
          : {kind: 'lost', reason: 'connection-lost'},
      );
    },
    fail: reason => {
      finish(
        isSent
          ? {kind: 'lost', reason}
          : {kind: 'not-run', reason, evidence: 'not-sent'},
      );
    },
  };
  return hop;
}

/** Random prefix that distinguishes hops of this process from all others. */
const HOP_ID_PREFIX_BYTES = 8;
const HOP_ID_PREFIX = randomBytes(HOP_ID_PREFIX_BYTES).toString('hex');

let hopsCount = 0;

function createHopId(): string {
  hopsCount += 1;
  return `${HOP_ID_PREFIX}${hopsCount.toString(36)}`;
}
