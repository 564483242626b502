/**
 * One connection to another node and the requests on it.
 */
import {startIoTimeout} from '../base/io_timeout.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import type {Frame} from '../protocol/hop_frames.js';
import {FRAME_KIND} from '../protocol/hop_frames.js';
import type {ClaimState, LoadFields} from '../protocol/hop_messages.js';
import {decodeLoads} from '../protocol/load_codec.js';
import {decodeHopResponse} from '../protocol/hop_response_codec.js';
import {openFrameConnection} from './frame_connection.js';
import {sendBody} from './request_body_sender.js';
import type {OutgoingHop} from './outgoing_hop.js';
import type {ReceivedBodyRest} from './received_body_rest.js';
import {createReceivedBodyRest} from './received_body_rest.js';

/** A connection to another node. */
export interface HopConnection {
  /**
   * Instance id of the peer process; `undefined` until its `hello` frame
   * arrives.
   */
  readonly instanceId: string | undefined;
  /**
   * Requests without a response, and responses whose body is being received.
   */
  readonly openCount: number;
  readonly lastReceivedMillis: number;
  /** When the oldest open request was sent; `undefined` if there is none. */
  readonly waitingSinceMillis: number | undefined;
  /** The peer process is stopping; no new requests may be sent. */
  readonly isGoingAway: boolean;
  readonly lastUsedMillis: number;
  /** Requests that were cancelled, without any data received since then. */
  readonly unconfirmedCancels: readonly string[];
  /** Requests without a response. */
  hops(): readonly OutgoingHop[];
  send(hop: OutgoingHop): void;
  /** Resumes a request whose connection was lost. */
  claim(hop: OutgoingHop): void;
  /** Cancels a request whose connection was lost. */
  cancelLost(hopId: string): void;
  ping(): void;
  /** Sends a query; its first byte is its type. */
  sendQuery(query: Buffer): void;
  /** Closes the connection and returns the requests that were on it. */
  closeAndTakeHops(): readonly OutgoingHop[];
}

/** Why a connection has closed. */
export type HopConnectionCloseReason =
  /** Nothing listens at the address now. */
  | 'refused'
  /** Not established for any other reason, which may be a fault of this host. */
  | 'connect-failed'
  /** The connection had been established. */
  | 'closed';

export interface HopConnectionOptions {
  readonly peer: Endpoint;
  readonly nowMillis: () => number;
  /** The `hello` frame of the peer has arrived. */
  readonly onReady: () => void;
  readonly onDataReceived: () => void;
  readonly onLoads: (loads: readonly LoadFields[]) => void;
  /** Closed by the peer or the network, with the requests that were on it. */
  readonly onClosed: (
    reason: HopConnectionCloseReason,
    hops: readonly OutgoingHop[],
  ) => void;
}

/**
 * Connect timeout: several round trips between regions of tens of milliseconds
 * each. A lost first packet is retransmitted only after a second, long after
 * another node could have responded.
 */
const CONNECT_TIMEOUT_MILLIS = 250;

const WINDOW_PAYLOAD_BYTES = 4;

/**
 * Plain fields instead of accessors, because each connection choice reads them.
 */
interface MutableHopConnection extends HopConnection {
  instanceId: string | undefined;
  openCount: number;
  lastReceivedMillis: number;
  waitingSinceMillis: number | undefined;
  isGoingAway: boolean;
  lastUsedMillis: number;
  unconfirmedCancels: string[];
}

interface Channel {
  readonly hop: OutgoingHop;
  bodyRest: ReceivedBodyRest | undefined;
}

/** Opens a connection; requests may be sent immediately. */
export function openHopConnection(
  options: HopConnectionOptions,
): HopConnection {
  const {peer, nowMillis} = options;
  const channels = new Map<number, Channel>();
  let lastChannelId = 0;
  let isConnected = false;
  let isClosedLocally = false;

  const connectTimeout = startIoTimeout(CONNECT_TIMEOUT_MILLIS, () => {
    connection.destroy();
  });

  /**
   * Ends the connection to a stopping process; only the sender can determine
   * that no request is in flight to it.
   */
  const endIfDrained = (): void => {
    if (hopConnection.isGoingAway && channels.size === 0) connection.end();
  };
  const updateChannelStats = (): void => {
    hopConnection.openCount = channels.size;
    hopConnection.waitingSinceMillis = oldestStartMillis(channels);
  };
  const closeChannel = (channelId: number): void => {
    channels.delete(channelId);
    updateChannelStats();
    endIfDrained();
  };
  const openChannel = (hop: OutgoingHop): number => {
    lastChannelId += 1;
    const channelId = lastChannelId;
    const channel: Channel = {hop, bodyRest: undefined};
    channels.set(channelId, channel);
    updateChannelStats();
    hop.detach = () => {
      // Called when the response has arrived or the sender no longer waits. A
      // channel that still receives the response body stays open.
      if (channel.bodyRest === undefined) cancelChannel(channelId);
    };
    hopConnection.lastUsedMillis = nowMillis();
    return channelId;
  };
  const cancelChannel = (channelId: number): void => {
    const channel = channels.get(channelId);
    if (channel === undefined) return;
    connection.send(FRAME_KIND.cancel, channelId);
    hopConnection.unconfirmedCancels.push(channel.hop.hopId);
    closeChannel(channelId);
  };
  const handleResponse = (channelId: number, payload: Buffer): void => {
    const channel = channels.get(channelId);
    if (channel === undefined) return;
    const decoded = decodeHopResponse(payload);
    if (decoded === undefined) {
      closeChannel(channelId);
      channel.hop.fail('broken-answer');
      return;
    }
    const {message: response, body: bodyStart} = decoded;
    const {message} = response;
    if (message?.hasRest === true) channel.bodyRest = openBodyRest(channelId);
    else closeChannel(channelId);
    const received =
      message === undefined
        ? undefined
        : {...message, bodyStart, bodyRest: channel.bodyRest?.stream};
    channel.hop.complete(response, received);
  };
  const openBodyRest = (channelId: number): ReceivedBodyRest =>
    createReceivedBodyRest({
      extendWindow: bytes => {
        const payload = Buffer.allocUnsafe(WINDOW_PAYLOAD_BYTES);
        payload.writeUInt32BE(bytes, 0);
        connection.send(FRAME_KIND.window, channelId, payload);
      },
      onAbandoned: () => {
        cancelChannel(channelId);
      },
    });
  const handleClaimState = (channelId: number, state: ClaimState): void => {
    const hop = channels.get(channelId)?.hop;
    if (hop === undefined) return;
    const isSameProcess = hop.instanceId === hopConnection.instanceId;
    switch (state) {
      case 'working':
      case 'finished':
        hop.instanceId = hopConnection.instanceId;
        return;
      case 'unknown':
        closeChannel(channelId);
        if (isSameProcess) hop.failNotReceived();
        else hop.fail('connection-lost');
        return;
      case 'gone':
        closeChannel(channelId);
        hop.fail('connection-lost');
    }
  };
  const endBodyRest = (
    channelId: number,
    failure: string | undefined,
  ): void => {
    const bodyRest = channels.get(channelId)?.bodyRest;
    closeChannel(channelId);
    if (failure === undefined) bodyRest?.end();
    else bodyRest?.fail(failure);
  };
  const onFrame = ({kind, channelId, payload}: Frame): void => {
    const channel = channels.get(channelId);
    switch (kind) {
      case FRAME_KIND.hello:
        hopConnection.instanceId = payload.toString();
        for (const {hop} of channels.values()) {
          hop.instanceId = hopConnection.instanceId;
        }
        options.onReady();
        break;
      case FRAME_KIND.bodyWanted:
        if (channel === undefined) return;
        channel.hop.markSent();
        sendBody(connection, channelId, channel.hop.body);
        break;
      case FRAME_KIND.suspected:
        channel?.hop.suspectUpstream();
        break;
      case FRAME_KIND.answer:
        handleResponse(channelId, payload);
        break;
      case FRAME_KIND.data:
        channel?.bodyRest?.push(payload);
        break;
      case FRAME_KIND.dataEnd:
        endBodyRest(channelId, undefined);
        break;
      case FRAME_KIND.broken:
        endBodyRest(channelId, 'the upstream response is incomplete');
        break;
      case FRAME_KIND.claimed:
        handleClaimState(channelId, payload.toString() as ClaimState);
        break;
      case FRAME_KIND.pong:
        if (payload.length > 0) options.onLoads(decodeLoads(payload));
        break;
      case FRAME_KIND.goingAway:
        hopConnection.isGoingAway = true;
        endIfDrained();
        break;
      default:
    }
  };
  const removeHops = (): readonly OutgoingHop[] => {
    const hops: OutgoingHop[] = [];
    for (const {hop, bodyRest} of channels.values()) {
      if (bodyRest !== undefined) {
        bodyRest.fail('the connection was lost');
        continue;
      }
      hop.detach = () => undefined;
      hops.push(hop);
    }
    channels.clear();
    updateChannelStats();
    return hops;
  };
  const connection = openFrameConnection(peer, {
    onDataReceived: () => {
      hopConnection.lastReceivedMillis = nowMillis();
      hopConnection.unconfirmedCancels.length = 0;
      options.onDataReceived();
    },
    onConnected: () => {
      connectTimeout.dispose();
      isConnected = true;
      for (const {hop} of channels.values()) {
        if (!hop.isBodyHeldBack) hop.markSent();
      }
    },
    onFrame,
    onClosed: errorCode => {
      connectTimeout.dispose();
      if (isClosedLocally) return;
      const isRefused = errorCode === 'ECONNREFUSED';
      const failure = isRefused ? 'refused' : 'connect-failed';
      options.onClosed(isConnected ? 'closed' : failure, removeHops());
    },
  });

  const hopConnection: MutableHopConnection = {
    instanceId: undefined,
    openCount: 0,
    lastReceivedMillis: 0,
    waitingSinceMillis: undefined,
    isGoingAway: false,
    lastUsedMillis: nowMillis(),
    unconfirmedCancels: [],
    hops: () =>
      [...channels.values()]
        .filter(channel => channel.bodyRest === undefined)
        .map(channel => channel.hop),
    send: hop => {
      const channelId = openChannel(hop);
      hop.instanceId = hopConnection.instanceId;
      connection.send(FRAME_KIND.request, channelId, hop.request);
      if (hop.isBodyHeldBack) return;
      if (hop.body.length > 0) sendBody(connection, channelId, hop.body);
      if (isConnected) hop.markSent();
    },
    claim: hop => {
      const channelId = openChannel(hop);
      connection.send(FRAME_KIND.claim, channelId, Buffer.from(hop.hopId));
    },
    cancelLost: hopId => {
      lastChannelId += 1;
      connection.send(FRAME_KIND.claim, lastChannelId, Buffer.from(hopId));
      connection.send(FRAME_KIND.cancel, lastChannelId);
    },
    ping: () => {
      connection.send(FRAME_KIND.ping, 0);
    },
    sendQuery: query => {
      hopConnection.lastUsedMillis = nowMillis();
      connection.send(FRAME_KIND.ping, 0, query);
    },
    closeAndTakeHops: () => {
      isClosedLocally = true;
      const hops = removeHops();
      connection.destroy();
      return hops;
    },
  };
  return hopConnection;
}

/** Channels are kept in the order in which they were opened. */
function oldestStartMillis(
  channels: ReadonlyMap<number, Channel>,
): number | undefined {
  for (const {hop} of channels.values()) return hop.startedMillis;
  return undefined;
}
