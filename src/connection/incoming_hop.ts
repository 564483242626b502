/**
 * A request of another node while this node has it. Its sender may come back on
 * another connection if the first one is lost.
 */
import type {CancelSignal} from '../base/cancel_signal.js';
import {createCancelSource} from '../base/cancel_signal.js';
import {FRAME_KIND} from '../protocol/hop_frames.js';
import type {HopResponse, HopRequest} from '../protocol/hop_messages.js';
import {encodeHopResponse} from '../protocol/hop_response_codec.js';
import type {FrameConnection} from './frame_connection.js';
import {withoutConnectionHeaders} from './raw_headers.js';
import type {ReceivedResponse} from './received_response.js';
import type {BodyRestSender} from './body_rest_sender.js';
import {startBodyRestSender} from './body_rest_sender.js';

/** Where a request came from, or its sender came back. */
export interface HopChannel {
  readonly connection: FrameConnection;
  readonly channelId: number;
  /** Loads of other upstreams have not been sent here for a while. */
  isLoadReportDue(): boolean;
  /** Nothing more is sent on the channel. */
  close(): void;
}

/** What came of a request here. */
export interface IncomingHopResult {
  readonly answer: Omit<HopResponse, 'message'>;
  /** The upstream's answer, if it gave one. */
  readonly received: ReceivedResponse | undefined;
}

/** A request as its handler sees it. */
export interface IncomingHop {
  readonly request: HopRequest;
  /** Cancelled when its sender does not want it any more. */
  readonly cancel: CancelSignal;
  /** The whole body, asked for if it was held back; `undefined` if it never comes. */
  fetchBody(): Buffer | undefined | Promise<Buffer | undefined>;
  /** Loads of other upstreams are to go with the answer. */
  isLoadReportDue(): boolean;
  /** Answers; called once. */
  answer(end: IncomingHopResult): void;
}

/** A request as its listener sees it. */
export interface ManagedIncomingHop extends IncomingHop {
  /** Its sender goes on with it on this channel. */
  attach(channel: HopChannel): void;
  /** A connection was lost; ignored if its sender has reconnected. */
  detach(connection: FrameConnection): void;
  /** Its sender has given it up. */
  abandon(): void;
  receiveBody(piece: Buffer, isLast: boolean): void;
  /** The receiver of the rest has passed on so many bytes. */
  extendWindow(bytes: number): void;
}

/** What an arrival needs. */
export interface IncomingHopOptions {
  readonly request: HopRequest;
  readonly inlineBody: Buffer;
  readonly channel: HopChannel;
  readonly bodyBytes: () => number;
  /** Answered; so many bytes of the answer are kept. */
  readonly onAnswered: (keptBytes: number) => void;
  /** Nothing is left to be sent. */
  readonly onDone: () => void;
}

/**
 * Time in which a sender comes back after its connection was lost: a few round
 * trips, and less than the half second for which work may outlive its client.
 */
const ORPHAN_MILLIS = 350;

const NOTHING = Buffer.alloc(0);

/** Creates the record of an arrival. */
export function createIncomingHop(
  options: IncomingHopOptions,
): ManagedIncomingHop {
  const {request} = options;
  const source = createCancelSource();
  let channel: HopChannel | undefined = options.channel;
  let orphanTimer: NodeJS.Timeout | undefined;
  let keptAnswer: Buffer | undefined;
  let sender: BodyRestSender | undefined;
  let isAnswered = false;
  let pieces: Buffer[] = [options.inlineBody];
  let isBodyWhole = request.bodyForm === 'inline';
  let isBodyWanted = request.bodyForm === 'follows';
  let giveBody: (body: Buffer | undefined) => void = () => undefined;

  const wantBody = (): void => {
    isBodyWanted = true;
    channel?.connection.send(FRAME_KIND.bodyWanted, channel.channelId);
  };
  const leaveChannel = (): void => {
    channel?.close();
    channel = undefined;
  };
  const abandon = (): void => {
    clearTimeout(orphanTimer);
    channel = undefined;
    sender?.stop();
    giveBody(undefined);
    source.cancel();
  };
  const sendAnswer = (payload: Buffer): void => {
    channel?.connection.send(FRAME_KIND.answer, channel.channelId, payload);
  };
  const sendRest = (received: ReceivedResponse): void => {
    const {bodyRest} = received;
    if (bodyRest === undefined) return;
    if (channel === undefined) {
      bodyRest.destroy();
      options.onDone();
      return;
    }
    sender = startBodyRestSender({
      connection: channel.connection,
      channelId: channel.channelId,
      bodyRest,
      onEnd: () => {
        leaveChannel();
        options.onDone();
      },
    });
  };

  return {
    request,
    cancel: source.signal,
    fetchBody: () => {
      if (isBodyWhole) return joined(pieces);
      if (source.signal.isCancelled) return undefined;
      return new Promise(resolve => {
        giveBody = resolve;
        if (!isBodyWanted) wantBody();
      });
    },
    isLoadReportDue: () => channel?.isLoadReportDue() ?? false,
    answer: ({answer, received}) => {
      isAnswered = true;
      clearTimeout(orphanTimer);
      const payload = encodeHopResponse(
        {...answer, message: messageOf(received)},
        received?.bodyStart ?? NOTHING,
      );
      sendAnswer(payload);
      if (received?.bodyRest !== undefined) {
        options.onAnswered(0);
        sendRest(received);
        return;
      }
      leaveChannel();
      keptAnswer = payload;
      options.onAnswered(payload.length);
      options.onDone();
    },
    attach: next => {
      clearTimeout(orphanTimer);
      channel = next;
      if (isAnswered) {
        if (keptAnswer !== undefined) sendAnswer(keptAnswer);
        leaveChannel();
        return;
      }
      if (isBodyWhole || !isBodyWanted) return;
      // What had come of the body on the lost connection may have a hole.
      pieces = [];
      wantBody();
    },
    detach: connection => {
      if (channel?.connection !== connection) return;
      channel = undefined;
      sender?.stop();
      if (isAnswered) return;
      orphanTimer = setTimeout(abandon, ORPHAN_MILLIS);
    },
    abandon,
    receiveBody: (piece, isLast) => {
      if (isBodyWhole) return;
      pieces.push(piece);
      if (bytesOf(pieces) > options.bodyBytes()) {
        giveBody(undefined);
        return;
      }
      if (!isLast) return;
      isBodyWhole = true;
      giveBody(joined(pieces));
    },
    extendWindow: bytes => {
      sender?.extendWindow(bytes);
    },
  };
}

function joined(pieces: readonly Buffer[]): Buffer {
  const [first] = pieces;
  if (pieces.length === 1 && first !== undefined) return first;
  return Buffer.concat(pieces);
}

function bytesOf(pieces: readonly Buffer[]): number {
  return pieces.reduce((sum, piece) => sum + piece.length, 0);
}

function messageOf(
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
