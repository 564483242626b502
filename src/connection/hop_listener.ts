/**
 * Receives requests from other nodes.
 */
import type {Socket} from 'node:net';
import {createServer} from 'node:net';
import type {Endpoint} from '../process/settings/node_settings.js';
import {createHopRegistry} from '../process/retries/hop_registry.js';
import type {Frame} from '../protocol/hop_frames.js';
import {FRAME_KIND} from '../protocol/hop_frames.js';
import type {LoadFields} from '../protocol/hop_messages.js';
import {isCrashReport} from '../protocol/crash_report_codec.js';
import {isQuotaReport} from '../protocol/quota_codec.js';
import {encodeLoads} from '../protocol/load_codec.js';
import {encodeHopResponse} from '../protocol/hop_response_codec.js';
import {decodeHopRequest} from '../protocol/hop_request_codec.js';
import {bindListener, acceptPendingConnections} from './bind_listener.js';
import type {FrameConnection} from './frame_connection.js';
import {acceptFrameConnection} from './frame_connection.js';
import type {
  IncomingHop,
  HopChannel,
  ManagedIncomingHop,
} from './incoming_hop.js';
import {createIncomingHop} from './incoming_hop.js';

export interface HopListenerOptions {
  readonly endpoint: Endpoint;
  /** Identifies this start of the process. */
  readonly instanceId: string;
  /** Maximum size of a request body. */
  readonly bodyBytes: () => number;
  /** Handles one request; must not reject. */
  readonly handle: (hop: IncomingHop) => Promise<void>;
  /** Loads to send to a node that queries them. */
  readonly loads: () => readonly LoadFields[];
  /**
   * Accepts a query for changes, and responds once there are any; returns false
   * for other queries.
   */
  readonly acceptRelayQuery: (
    query: Buffer,
    respond: (response: Buffer) => void,
  ) => boolean;
  /**
   * Processes a crash report; returns a report if the sender lacks any crashes.
   */
  readonly receiveCrashReport: (report: Buffer) => Buffer | undefined;
  /** Responds to a quota report; returns `undefined` if it is invalid. */
  readonly answerQuotaReport: (report: Buffer) => Buffer | undefined;
  readonly nowMillis: () => number;
  /** The sender of a request in progress has resumed it on this connection. */
  readonly onResumed: (resumed: ResumedHop) => void;
  /** A peer sent bytes that are not a valid message. */
  readonly onMalformed: (peer: string) => void;
}

/** A request whose sender has replaced its connection. */
export interface ResumedHop {
  readonly attemptId: string;
  readonly peer: string;
  /** Bytes of the request body that had arrived on the previous connection. */
  readonly receivedBodyBytes: number;
}

/** An open listener. */
export interface HopListener {
  readonly port: number;
  /** Requests that were received and whose response is not sent completely. */
  readonly busyCount: number;
  /**
   * Stops accepting connections and lets senders close theirs, because a
   * request may be in flight on each; resolves when the last one has closed.
   */
  close(): Promise<void>;
}

/**
 * Minimum interval between reports of other upstreams' loads on a connection.
 */
const LOAD_REPORT_MILLIS = 100;

/** Time beyond the deadline of a request in which its sender may still claim it. */
const CLAIM_MARGIN_MILLIS = 2000;

/** Longest time for which a request is remembered, whatever its sender states. */
const MAX_CLAIMABLE_MILLIS = 600_000;

const EMPTY_PAYLOAD = Buffer.alloc(0);

const noop = (): void => undefined;

/** State shared by all connections of a listener. */
interface ListenerState {
  readonly incomingHops: ReturnType<
    typeof createHopRegistry<ManagedIncomingHop>
  >;
  busyCount: number;
  isClosing: boolean;
}

/** Opens a listener; rejects if the address cannot be bound. */
export async function openHopListener(
  options: HopListenerOptions,
): Promise<HopListener> {
  const state: ListenerState = {
    incomingHops: createHopRegistry<ManagedIncomingHop>(options.nowMillis),
    busyCount: 0,
    isClosing: false,
  };
  const connections = new Set<FrameConnection>();
  const server = createServer({noDelay: true}, socket => {
    const connection = serveConnection(options, state, socket, () => {
      connections.delete(connection);
    });
    connections.add(connection);
  });
  const port = await bindListener(server, options.endpoint);
  return {
    port,
    get busyCount() {
      return state.busyCount;
    },
    close: async () => {
      state.isClosing = true;
      await acceptPendingConnections();
      await new Promise<void>(resolve => {
        server.close(() => {
          resolve();
        });
        for (const connection of connections) sendGoingAway(connection);
      });
    },
  };
}

function serveConnection(
  options: HopListenerOptions,
  state: ListenerState,
  socket: Socket,
  onClosed: () => void,
): FrameConnection {
  const channels = new Map<number, ManagedIncomingHop>();
  const peer = socket.remoteAddress ?? 'unknown';
  let lastLoadReportMillis = 0;

  const openChannel = (channelId: number): HopChannel => ({
    connection,
    channelId,
    isLoadReportDue: () => {
      const now = options.nowMillis();
      if (now - lastLoadReportMillis < LOAD_REPORT_MILLIS) return false;
      lastLoadReportMillis = now;
      return true;
    },
    close: () => {
      channels.delete(channelId);
    },
  });
  const acceptRequest = (frame: Frame): void => {
    const {channelId} = frame;
    const decoded = decodeHopRequest(frame.payload);
    if (decoded === undefined) {
      options.onMalformed(peer);
      connection.destroy();
      return;
    }
    const {hopId} = decoded.message;
    const hop = createIncomingHop({
      request: decoded.message,
      inlineBody: decoded.body,
      channel: openChannel(channelId),
      bodyBytes: options.bodyBytes,
      nowMillis: options.nowMillis,
      onAnswered: (response, keptMillis) => {
        state.incomingHops.end(hopId, response, keptMillis);
      },
      onDone: () => {
        state.busyCount -= 1;
      },
    });
    const claimableUntilMillis =
      options.nowMillis() + claimableMillis(decoded.message.leftMillis);
    // The sender claimed this hop before it arrived and received the state
    // `unknown`, so it may have resent the request to another node.
    if (!state.incomingHops.begin(hopId, hop, claimableUntilMillis)) {
      sendRefusal(connection, channelId);
      return;
    }
    state.busyCount += 1;
    channels.set(channelId, hop);
    void options.handle(hop);
  };
  const handlePing = (channelId: number, query: Buffer): void => {
    if (query.length === 0) {
      connection.send(FRAME_KIND.pong, channelId, EMPTY_PAYLOAD);
      return;
    }
    if (isCrashReport(query)) {
      const report = options.receiveCrashReport(query);
      if (report !== undefined) {
        connection.send(FRAME_KIND.crashes, channelId, report);
      }
      return;
    }
    if (isQuotaReport(query)) {
      const response = options.answerQuotaReport(query);
      if (response !== undefined) {
        connection.send(FRAME_KIND.quotas, channelId, response);
      }
      return;
    }
    const isRelayQuery = options.acceptRelayQuery(query, changes => {
      connection.send(FRAME_KIND.changes, channelId, changes);
    });
    if (isRelayQuery) return;
    connection.send(FRAME_KIND.pong, channelId, encodeLoads(options.loads()));
  };
  const handleClaim = (frame: Frame): void => {
    const {channelId} = frame;
    const claimed = state.incomingHops.claim(frame.payload.toString());
    connection.send(FRAME_KIND.claimed, channelId, Buffer.from(claimed.state));
    if (claimed.state === 'finished') {
      connection.send(FRAME_KIND.answer, channelId, claimed.response);
      return;
    }
    if (claimed.state !== 'working') return;
    const {request, receivedBodyBytes} = claimed.hop;
    channels.set(channelId, claimed.hop);
    claimed.hop.attach(openChannel(channelId));
    const {attemptId} = request;
    options.onResumed({attemptId, peer, receivedBodyBytes});
  };
  const onFrame = (frame: Frame): void => {
    const {kind, channelId, payload} = frame;
    const hop = channels.get(channelId);
    switch (kind) {
      case FRAME_KIND.request:
        acceptRequest(frame);
        break;
      case FRAME_KIND.body:
        if (hop === undefined) return;
        connection.send(FRAME_KIND.bodyReceived, channelId);
        hop.receiveBody(payload, false);
        break;
      case FRAME_KIND.bodyEnd:
        hop?.receiveBody(payload, true);
        break;
      case FRAME_KIND.cancel:
        channels.delete(channelId);
        hop?.abandon();
        break;
      case FRAME_KIND.window:
        hop?.extendWindow(payload.readUInt32BE(0));
        break;
      case FRAME_KIND.ping:
        handlePing(channelId, payload);
        break;
      case FRAME_KIND.claim:
        handleClaim(frame);
        break;
      default:
        options.onMalformed(peer);
        connection.destroy();
    }
  };
  const connection: FrameConnection = acceptFrameConnection(socket, {
    onDataReceived: noop,
    onFrame,
    onClosed: () => {
      const openHops = [...channels.values()];
      channels.clear();
      for (const hop of openHops) hop.detach(connection);
      onClosed();
    },
  });
  connection.send(FRAME_KIND.hello, 0, Buffer.from(options.instanceId));
  if (state.isClosing) sendGoingAway(connection);
  return connection;
}

function claimableMillis(leftMillis: number): number {
  return Math.min(leftMillis + CLAIM_MARGIN_MILLIS, MAX_CLAIMABLE_MILLIS);
}

function sendGoingAway(connection: FrameConnection): void {
  connection.send(FRAME_KIND.goingAway, 0);
}

function sendRefusal(connection: FrameConnection, channelId: number): void {
  const payload = encodeHopResponse(
    {
      outcome: 'refused',
      reason: 'silent',
      hasFailedCall: false,
      unspentCount: 0,
      calls: new Map(),
      loads: [],
      message: undefined,
    },
    Buffer.alloc(0),
  );
  connection.send(FRAME_KIND.answer, channelId, payload);
}
