/**
 * A request from another node while this node processes it. If the connection
 * is lost, the sender may resume the request on another connection.
 */
import {createCancelSource} from '../base/cancel_signal.js';
import {RECONNECT_WINDOW_MILLIS} from '../process/membership/reconnect_times.js';
import type {
  CancelCause,
  RequestCancelSignal,
} from '../protocol/cancel_cause.js';
import {FRAME_KIND} from '../protocol/hop_frames.js';
import type {
  ClaimState,
  HopResponse,
  HopRequest,
} from '../protocol/hop_messages.js';
import {encodeHopResponse} from '../protocol/hop_response_codec.js';
import type {FrameConnection} from './frame_connection.js';
import {withoutConnectionHeaders} from './raw_headers.js';
import type {ReceivedResponse} from './received_response.js';
import type {BodyRestSender} from './body_rest_sender.js';
import {startBodyRestSender} from './body_rest_sender.js';

/** Channel on which a request arrived or its sender resumed it. */
export interface HopChannel {
  readonly connection: FrameConnection;
  readonly channelId: number;
  /**
   * No loads of other upstreams have been sent on the connection for a while.
   */
  isLoadReportDue(): boolean;
  /** Releases the channel; nothing more is sent on it. */
  close(): void;
}

/** Result of a request at this node. */
export interface IncomingHopResult {
  readonly answer: Omit<HopResponse, 'message'>;
  /** Response of the upstream, if there is one. */
  readonly received: ReceivedResponse | undefined;
}

/** A request, as provided to its handler. */
export interface IncomingHop {
  readonly request: HopRequest;
  /** Cancelled when the sender no longer needs the response. */
  readonly cancel: RequestCancelSignal;
  /**
   * Complete body, requested from the sender if it was deferred; `undefined` if
   * it will never arrive.
   */
  fetchBody(): Buffer | undefined | Promise<Buffer | undefined>;
  /** Loads of other upstreams should be included in the response. */
  isLoadReportDue(): boolean;
  /** Reports to the sender that the upstream may have ended. */
  reportSuspected(): void;
  /** Sends the response; called once. */
  answer(result: IncomingHopResult): void;
}

/** A request, as managed by its listener. */
export interface ManagedIncomingHop extends IncomingHop {
  /** Bytes of the request body received on the current channel. */
  readonly receivedBodyBytes: number;
  /**
   * The sender resumes the request on this channel. The previous channel is
   * released: its connection may have been slow rather than lost, and still
   * deliver frames.
   */
  attach(channel: HopChannel): void;
  /** A connection was lost; ignored if the sender has already reconnected. */
  detach(connection: FrameConnection): void;
  /** Cancels the request; the sender no longer needs it. */
  abandon(): void;
  receiveBody(chunk: Buffer, isLast: boolean): void;
  /** The receiver of the remaining body has consumed this many bytes. */
  extendWindow(bytes: number): void;
}

export interface IncomingHopOptions {
  readonly request: HopRequest;
  readonly inlineBody: Buffer;
  readonly channel: HopChannel;
  readonly bodyBytes: () => number;
  readonly nowMillis: () => number;
  /**
   * The response was produced; it may be sent again if it is given, for longer than
   * usual if a time is given.
   */
  readonly onAnswered: (response?: Buffer, keptMillis?: number) => void;
  /** Nothing is left to send. */
  readonly onDone: () => void;
}

/** The result is not available; reads may be sent to another node. */
const GONE: ClaimState = 'gone';

const EMPTY_BODY = Buffer.alloc(0);

/** Creates the state of a received request. */
export function createIncomingHop(
  options: IncomingHopOptions,
): ManagedIncomingHop {
  const {request} = options;
  const source = createCancelSource<CancelCause>();
  let channel: HopChannel | undefined = options.channel;
  let reconnectTimer: NodeJS.Timeout | undefined;
  let bodyRestSender: BodyRestSender | undefined;
  let isAnswered = false;
  const deadlineMillis = options.nowMillis() + request.leftMillis;
  let bodyChunks: Buffer[] = [options.inlineBody];
  let receivedBodyBytes = options.inlineBody.length;
  let isBodyComplete = request.bodyForm === 'inline';
  let isBodyRequested = request.bodyForm === 'follows';
  let resolveBody: (body: Buffer | undefined) => void = () => undefined;

  const requestBody = (): void => {
    isBodyRequested = true;
    channel?.connection.send(FRAME_KIND.bodyWanted, channel.channelId);
  };
  const closeChannel = (): void => {
    channel?.close();
    channel = undefined;
  };
  const abandon = (cause: CancelCause): void => {
    clearTimeout(reconnectTimer);
    channel = undefined;
    bodyRestSender?.stop();
    resolveBody(undefined);
    source.cancel(cause);
  };
  /**
   * Time for which work continues without a connection. A second run of an order is not
   * allowed, so its first one continues until its deadline. A lost connection does not
   * imply that the client has left: its sender cancels the request once it reconnects.
   */
  const detachedMillis = (): number => {
    const leftMillis = Math.max(0, deadlineMillis - options.nowMillis());
    if (!request.isRepeatable && isBodyComplete) return leftMillis;
    return Math.min(leftMillis, RECONNECT_WINDOW_MILLIS);
  };
  const isSenderLost = (): boolean => source.signal.cause === 'sender-lost';
  /** An order cannot be repeated, so its response is kept until it can be claimed. */
  const responseRetentionMillis = (): number | undefined => {
    if (channel === undefined) return detachedMillis();
    return request.isRepeatable ? undefined : RECONNECT_WINDOW_MILLIS;
  };
  const sendGone = (): void => {
    channel?.connection.send(
      FRAME_KIND.claimed,
      channel.channelId,
      Buffer.from(GONE),
    );
    closeChannel();
    options.onAnswered();
    options.onDone();
  };
  const sendResponse = (payload: Buffer): void => {
    channel?.connection.send(FRAME_KIND.answer, channel.channelId, payload);
  };
  const sendBodyRest = (received: ReceivedResponse): void => {
    const {bodyRest} = received;
    if (bodyRest === undefined) return;
    if (channel === undefined) {
      bodyRest.destroy();
      options.onDone();
      return;
    }
    bodyRestSender = startBodyRestSender({
      connection: channel.connection,
      channelId: channel.channelId,
      bodyRest,
      onEnd: () => {
        closeChannel();
        options.onDone();
      },
    });
  };

  return {
    request,
    cancel: source.signal,
    get receivedBodyBytes() {
      return receivedBodyBytes;
    },
    fetchBody: () => {
      if (isBodyComplete) return concatChunks(bodyChunks);
      if (source.signal.isCancelled) return undefined;
      return new Promise(resolve => {
        resolveBody = resolve;
        if (!isBodyRequested) requestBody();
      });
    },
    isLoadReportDue: () => channel?.isLoadReportDue() ?? false,
    reportSuspected: () => {
      channel?.connection.send(FRAME_KIND.suspected, channel.channelId);
    },
    answer: ({answer, received}) => {
      isAnswered = true;
      clearTimeout(reconnectTimer);
      if (isSenderLost() && answer.outcome === 'unknown') {
        sendGone();
        return;
      }
      const payload = encodeHopResponse(
        {...answer, message: toResponseFields(received)},
        received?.bodyStart ?? EMPTY_BODY,
      );
      sendResponse(payload);
      if (received?.bodyRest !== undefined) {
        options.onAnswered();
        sendBodyRest(received);
        return;
      }
      const keptMillis = responseRetentionMillis();
      closeChannel();
      bodyChunks = [];
      options.onAnswered(payload, keptMillis);
      options.onDone();
    },
    attach: next => {
      clearTimeout(reconnectTimer);
      closeChannel();
      channel = next;
      if (isSenderLost() || isBodyComplete || !isBodyRequested) return;
      // Chunks from the previous connection may be incomplete.
      bodyChunks = [];
      receivedBodyBytes = 0;
      requestBody();
    },
    detach: connection => {
      if (channel?.connection !== connection) return;
      channel = undefined;
      bodyRestSender?.stop();
      if (isAnswered) return;
      reconnectTimer = setTimeout(abandon, detachedMillis(), 'sender-lost');
    },
    abandon: () => {
      abandon('cancelled');
    },
    receiveBody: (chunk, isLast) => {
      if (isBodyComplete) return;
      bodyChunks.push(chunk);
      receivedBodyBytes += chunk.length;
      if (receivedBodyBytes > options.bodyBytes()) {
        resolveBody(undefined);
        return;
      }
      if (!isLast) return;
      isBodyComplete = true;
      resolveBody(concatChunks(bodyChunks));
    },
    extendWindow: bytes => {
      bodyRestSender?.extendWindow(bytes);
    },
  };
}

function concatChunks(bodyChunks: readonly Buffer[]): Buffer {
  const [first] = bodyChunks;
  if (bodyChunks.length === 1 && first !== undefined) return first;
  return Buffer.concat(bodyChunks);
}

function toResponseFields(
  received: ReceivedResponse | undefined,
): HopResponse['message'] {
  if (received === undefined) return undefined;
  return {
    statusCode: received.statusCode,
    headers: withoutConnectionHeaders(received.headers),
    isUnframed: received.isUnframed,
    hasRest: received.bodyRest !== undefined,
  };
}
