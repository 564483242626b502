/**
 * A request on its way to another node, wherever its connection is.
 */
import {randomBytes} from 'node:crypto';
import type {HopResponse, HopRequest} from '../protocol/hop_messages.js';
import {encodeHopRequest} from '../protocol/hop_request_codec.js';
import type {ReceivedResponse} from './received_response.js';

/** How a hop ended. */
export type HopResult =
  | {
      readonly kind: 'answer';
      readonly answer: HopResponse;
      /** The upstream's answer, if it gave one. */
      readonly received: ReceivedResponse | undefined;
    }
  /** The other node has not received all of it and never will. */
  | {readonly kind: 'not-run'; readonly reason: HopFailureReason}
  /** It may have run. */
  | {readonly kind: 'lost'; readonly reason: HopFailureReason};

/** Why a hop ended without an answer. */
export type HopFailureReason =
  'cancelled' | 'unreachable' | 'silent' | 'connection-lost' | 'broken-answer';

/** A hop as connections see it. */
export interface OutgoingHop {
  readonly hopId: string;
  readonly startedMillis: number;
  /** Payload of the frame that opens it. */
  readonly request: Buffer;
  readonly body: Buffer;
  /** The body follows only when it is asked for. */
  readonly isBodyHeldBack: boolean;
  /** It has not ended. */
  readonly isOpen: boolean;
  /** Sent elsewhere as well it could do no harm. */
  readonly isResendable: boolean;
  /** All of it is on its way: from here on it may run. */
  markSent(): void;
  /** Process that it was sent to; only this one knows what became of it. */
  instanceId: string | undefined;
  /** Takes it off its connection; set by the connection that it is on. */
  detach: () => void;
  /** Ends with an answer. */
  complete(answer: HopResponse, received: ReceivedResponse | undefined): void;
  /** Ends as not run. */
  failNotRun(reason: HopFailureReason): void;
  /** Ends without an answer: as not run if not all of it was sent. */
  fail(reason: HopFailureReason): void;
}

/** What a hop is made of. */
export interface OutgoingHopOptions {
  readonly request: Omit<HopRequest, 'hopId' | 'bodyForm'>;
  readonly body: Buffer;
  readonly startedMillis: number;
  readonly onEnd: (end: HopResult) => void;
}

/** Plain fields: an accessor in a literal makes each hop costly to create. */
interface OwnHop extends OutgoingHop {
  isOpen: boolean;
  isResendable: boolean;
}

/** Bodies up to this size go along with the request; most fit in a packet. */
const INLINE_BYTES = 65_536;

const NOTHING = Buffer.alloc(0);

/** Creates a hop that is on no connection yet. */
export function createOutgoingHop(options: OutgoingHopOptions): OutgoingHop {
  const {request, body} = options;
  const {isRepeatable} = request;
  const hopId = newHopId();
  const isInline = isRepeatable && body.length <= INLINE_BYTES;
  const bodyForm = isInline ? 'inline' : isRepeatable ? 'follows' : 'held-back';
  let isSent = false;

  const end = (how: HopResult): void => {
    if (!hop.isOpen) return;
    hop.isOpen = false;
    hop.detach();
    options.onEnd(how);
  };
  const hop: OwnHop = {
    hopId,
    startedMillis: options.startedMillis,
    request: encodeHopRequest(
      {...request, hopId, bodyForm},
      isInline ? body : NOTHING,
    ),
    body: isInline ? NOTHING : body,
    isBodyHeldBack: bodyForm === 'held-back',
    isOpen: true,
    isResendable: true,
    markSent: () => {
      isSent = true;
      hop.isResendable = isRepeatable;
    },
    instanceId: undefined,
    detach: () => undefined,
    complete: (answer, received) => {
      end({kind: 'answer', answer, received});
    },
    failNotRun: reason => {
      end({kind: 'not-run', reason});
    },
    fail: reason => {
      end({kind: isSent ? 'lost' : 'not-run', reason});
    },
  };
  return hop;
}

/** Random bytes that distinguish the hops of this process from all others. */
const PREFIX_BYTES = 8;
const HOP_ID_PREFIX = randomBytes(PREFIX_BYTES).toString('hex');

let hopsCount = 0;

function newHopId(): string {
  hopsCount += 1;
  return `${HOP_ID_PREFIX}${hopsCount.toString(36)}`;
}
