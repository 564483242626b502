/**
 * One connection to another node, with the requests on it.
 */
import type {Endpoint} from '../process/settings/node_settings.js';
import type {Frame} from '../protocol/hop_frames.js';
import {FRAME_KIND} from '../protocol/hop_frames.js';
import type {ClaimState, LoadFields} from '../protocol/hop_messages.js';
import {decodeLoads} from '../protocol/load_codec.js';
import {decodeHopResponse} from '../protocol/hop_response_codec.js';
import {openFrameConnection} from './frame_connection.js';
import type {OutgoingHop} from './outgoing_hop.js';
import type {ReceivedBodyRest} from './received_body_rest.js';
import {createReceivedBodyRest} from './received_body_rest.js';

/** A connection to another node. */
export interface HopConnection {
  /** Process at the other end; `undefined` until it has introduced itself. */
  readonly instanceId: string | undefined;
  /** Requests on it, and answers whose rest is under way. */
  readonly openCount: number;
  readonly lastReceivedMillis: number;
  /** When the oldest request on it was sent; `undefined` if there is none. */
  readonly waitingSinceMillis: number | undefined;
  /** The process at the other end ends; nothing new may be sent. */
  readonly isGoingAway: boolean;
  /** When it was used last. */
  readonly lastUsedMillis: number;
  /** Requests on it that have no answer yet. */
  hops(): readonly OutgoingHop[];
  send(hop: OutgoingHop): void;
  /** Asks for a request whose connection was lost. */
  claim(hop: OutgoingHop): void;
  /** Asks for a sign of life. */
  ping(): void;
  /** Sends a question; its first byte is its kind. */
  sendQuery(question: Buffer): void;
  /** Closes it and returns the requests that were on it. */
  closeAndTakeHops(): readonly OutgoingHop[];
}

/** Why a connection has closed. */
export type HopConnectionCloseReason =
  /** It was never open. */
  | 'refused'
  | 'connect-timeout'
  /** It was open, and the other end introduced itself. */
  | 'closed';

/** What a connection needs. */
export interface HopConnectionOptions {
  readonly peer: Endpoint;
  readonly nowMillis: () => number;
  /** The other end has introduced itself. */
  readonly onReady: () => void;
  readonly onDataReceived: () => void;
  readonly onLoads: (loads: readonly LoadFields[]) => void;
  readonly onChanges: (answer: Buffer) => void;
  /** Closed by the other end or the network, with the requests on it. */
  readonly onClosed: (
    how: HopConnectionCloseReason,
    hops: readonly OutgoingHop[],
  ) => void;
}

/**
 * Bound on opening a connection: some round trips between regions of tens of
 * milliseconds each. A lost first packet is sent again only after a second,
 * when another node has long answered.
 */
const CONNECT_TIMEOUT_MILLIS = 250;

/** Bytes of a body in one frame. */
const PIECE_BYTES = 65_536;

const GRANT_LENGTH_BYTES = 4;

/** Plain fields, which are read for each choice of a connection. */
interface OwnLink extends HopConnection {
  instanceId: string | undefined;
  openCount: number;
  lastReceivedMillis: number;
  waitingSinceMillis: number | undefined;
  isGoingAway: boolean;
  lastUsedMillis: number;
}

interface Channel {
  readonly hop: OutgoingHop;
  rest: ReceivedBodyRest | undefined;
}

/** Opens a connection; requests may be sent on it at once. */
export function openHopConnection(
  options: HopConnectionOptions,
): HopConnection {
  const {peer, nowMillis} = options;
  const channels = new Map<number, Channel>();
  let channelsCount = 0;
  let isConnected = false;
  let isRetired = false;
  let hasTimedOut = false;

  const timer = setTimeout(() => {
    hasTimedOut = true;
    connection.destroy();
  }, CONNECT_TIMEOUT_MILLIS);

  /** Only this side knows when nothing is on its way to a process that ends. */
  const endIfLeft = (): void => {
    if (link.isGoingAway && channels.size === 0) connection.end();
  };
  const noteChannels = (): void => {
    link.openCount = channels.size;
    link.waitingSinceMillis = oldestStart(channels);
  };
  const closeChannel = (channelId: number): void => {
    channels.delete(channelId);
    noteChannels();
    endIfLeft();
  };
  const openChannel = (hop: OutgoingHop): number => {
    channelsCount += 1;
    const channelId = channelsCount;
    const channel: Channel = {hop, rest: undefined};
    channels.set(channelId, channel);
    noteChannels();
    hop.detach = () => {
      // Its answer has come, or its sender no longer waits.
      if (channel.rest === undefined) cancelChannel(channelId);
    };
    link.lastUsedMillis = nowMillis();
    return channelId;
  };
  const cancelChannel = (channelId: number): void => {
    if (!channels.has(channelId)) return;
    connection.send(FRAME_KIND.cancel, channelId);
    closeChannel(channelId);
  };
  const sendBody = (channelId: number, hop: OutgoingHop): void => {
    const {body} = hop;
    let offset = 0;
    while (body.length - offset > PIECE_BYTES) {
      const piece = body.subarray(offset, offset + PIECE_BYTES);
      connection.send(FRAME_KIND.body, channelId, piece);
      offset += PIECE_BYTES;
    }
    connection.send(FRAME_KIND.bodyEnd, channelId, body.subarray(offset));
  };
  const receiveAnswer = (channelId: number, payload: Buffer): void => {
    const channel = channels.get(channelId);
    if (channel === undefined) return;
    const decoded = decodeHopResponse(payload);
    if (decoded === undefined) {
      closeChannel(channelId);
      channel.hop.fail('broken-answer');
      return;
    }
    const {message: answer, body: bodyStart} = decoded;
    const {message} = answer;
    if (message?.hasRest === true) channel.rest = openRest(channelId);
    else closeChannel(channelId);
    const received =
      message === undefined
        ? undefined
        : {...message, bodyStart, bodyRest: channel.rest?.stream};
    channel.hop.complete(answer, received);
  };
  const openRest = (channelId: number): ReceivedBodyRest =>
    createReceivedBodyRest({
      extendWindow: bytes => {
        const payload = Buffer.allocUnsafe(GRANT_LENGTH_BYTES);
        payload.writeUInt32BE(bytes, 0);
        connection.send(FRAME_KIND.window, channelId, payload);
      },
      onAbandoned: () => {
        cancelChannel(channelId);
      },
    });
  const receiveClaimed = (channelId: number, state: ClaimState): void => {
    const hop = channels.get(channelId)?.hop;
    if (hop === undefined) return;
    switch (state) {
      case 'working':
      case 'finished':
        return;
      case 'unknown':
        closeChannel(channelId);
        hop.failNotRun('silent');
        return;
      case 'gone':
        closeChannel(channelId);
        hop.fail('connection-lost');
    }
  };
  const endRest = (channelId: number, failure: string | undefined): void => {
    const rest = channels.get(channelId)?.rest;
    closeChannel(channelId);
    if (failure === undefined) rest?.end();
    else rest?.fail(failure);
  };
  const onFrame = ({kind, channelId, payload}: Frame): void => {
    const channel = channels.get(channelId);
    switch (kind) {
      case FRAME_KIND.hello:
        link.instanceId = payload.toString();
        for (const {hop} of channels.values()) {
          hop.instanceId = link.instanceId;
        }
        options.onReady();
        break;
      case FRAME_KIND.bodyWanted:
        if (channel === undefined) return;
        channel.hop.markSent();
        sendBody(channelId, channel.hop);
        break;
      case FRAME_KIND.answer:
        receiveAnswer(channelId, payload);
        break;
      case FRAME_KIND.data:
        channel?.rest?.push(payload);
        break;
      case FRAME_KIND.dataEnd:
        endRest(channelId, undefined);
        break;
      case FRAME_KIND.broken:
        endRest(channelId, 'the upstream broke off');
        break;
      case FRAME_KIND.claimed:
        receiveClaimed(channelId, payload.toString() as ClaimState);
        break;
      case FRAME_KIND.pong:
        if (payload.length > 0) options.onLoads(decodeLoads(payload));
        break;
      case FRAME_KIND.changes:
        options.onChanges(payload);
        break;
      case FRAME_KIND.goingAway:
        link.isGoingAway = true;
        endIfLeft();
        break;
      default:
    }
  };
  const takeHops = (): readonly OutgoingHop[] => {
    const hops: OutgoingHop[] = [];
    for (const {hop, rest} of channels.values()) {
      if (rest !== undefined) {
        rest.fail('the connection was lost');
        continue;
      }
      hop.detach = () => undefined;
      hops.push(hop);
    }
    channels.clear();
    noteChannels();
    return hops;
  };
  const connection = openFrameConnection(peer, {
    onDataReceived: () => {
      link.lastReceivedMillis = nowMillis();
      options.onDataReceived();
    },
    onConnected: () => {
      clearTimeout(timer);
      isConnected = true;
      for (const {hop} of channels.values()) {
        if (!hop.isBodyHeldBack) hop.markSent();
      }
    },
    onFrame,
    onClosed: () => {
      clearTimeout(timer);
      if (isRetired) return;
      const how = hasTimedOut ? 'connect-timeout' : 'refused';
      options.onClosed(isConnected ? 'closed' : how, takeHops());
    },
  });

  const link: OwnLink = {
    instanceId: undefined,
    openCount: 0,
    lastReceivedMillis: 0,
    waitingSinceMillis: undefined,
    isGoingAway: false,
    lastUsedMillis: nowMillis(),
    hops: () =>
      [...channels.values()]
        .filter(channel => channel.rest === undefined)
        .map(channel => channel.hop),
    send: hop => {
      const channelId = openChannel(hop);
      hop.instanceId = link.instanceId;
      connection.send(FRAME_KIND.request, channelId, hop.request);
      if (hop.isBodyHeldBack) return;
      if (hop.body.length > 0) sendBody(channelId, hop);
      if (isConnected) hop.markSent();
    },
    claim: hop => {
      const channelId = openChannel(hop);
      connection.send(FRAME_KIND.claim, channelId, Buffer.from(hop.hopId));
    },
    ping: () => {
      connection.send(FRAME_KIND.ping, 0);
    },
    sendQuery: question => {
      link.lastUsedMillis = nowMillis();
      connection.send(FRAME_KIND.ping, 0, question);
    },
    closeAndTakeHops: () => {
      isRetired = true;
      const hops = takeHops();
      connection.destroy();
      return hops;
    },
  };
  return link;
}

/** The oldest channel stands first. */
function oldestStart(
  channels: ReadonlyMap<number, Channel>,
): number | undefined {
  for (const {hop} of channels.values()) return hop.startedMillis;
  return undefined;
}
