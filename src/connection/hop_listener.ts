/**
 * Receives the requests of other nodes.
 */
import type {Socket} from 'node:net';
import {createServer} from 'node:net';
import type {Endpoint} from '../process/settings/node_settings.js';
import {createHopRegistry} from '../process/repeats/hop_registry.js';
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

/** What a listener is made of. */
export interface HopListenerOptions {
  readonly endpoint: Endpoint;
  /** Identifies this start of the process. */
  readonly instanceId: string;
  /** Bound on the body of a request. */
  readonly bodyBytes: () => number;
  /** Answers one request; must not reject. */
  readonly handle: (arrival: IncomingHop) => Promise<void>;
  /** Loads for a node that asks for them. */
  readonly loads: () => readonly LoadFields[];
  /** Answers a question for changes; `undefined` if it is none. */
  readonly answerRelayQuery: (question: Buffer) => Buffer | undefined;
  /** Takes a report of crashes; returns one if the sender lacks any. */
  readonly receiveCrashReport: (report: Buffer) => Buffer | undefined;
  /** Answers a report of the use of quotas; `undefined` if it is none. */
  readonly answerQuotaReport: (report: Buffer) => Buffer | undefined;
  readonly nowMillis: () => number;
  /** Bytes came that are no message of a node. */
  readonly onMalformed: (peer: string) => void;
}

/** An open listener. */
export interface HopListener {
  readonly port: number;
  /** Requests that were read and not yet answered in full. */
  readonly busyCount: number;
  /**
   * Accepts nothing more and lets senders end their connections, since a request
   * may be on its way on each; resolves when the last one has ended.
   */
  close(): Promise<void>;
}

/** Interval at which loads of other upstreams are sent on each connection. */
const REPORT_MILLIS = 100;

const EMPTY = Buffer.alloc(0);

const NOTHING = (): void => undefined;

/** State that all connections of a listener share. */
interface ListenerState {
  readonly arrivals: ReturnType<typeof createHopRegistry<ManagedIncomingHop>>;
  busyCount: number;
  isClosing: boolean;
}

/** Opens a listener; rejects if the address cannot be bound. */
export async function openHopListener(
  options: HopListenerOptions,
): Promise<HopListener> {
  const state: ListenerState = {
    arrivals: createHopRegistry<ManagedIncomingHop>(options.nowMillis),
    busyCount: 0,
    isClosing: false,
  };
  const connections = new Set<FrameConnection>();
  const server = createServer({noDelay: true}, socket => {
    const served = serve(options, state, socket, () => {
      connections.delete(served);
    });
    connections.add(served);
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
        for (const served of connections) sayGoingAway(served);
      });
    },
  };
}

function serve(
  options: HopListenerOptions,
  state: ListenerState,
  socket: Socket,
  onClosed: () => void,
): FrameConnection {
  const channels = new Map<number, ManagedIncomingHop>();
  const peer = socket.remoteAddress ?? 'unknown';
  let reportedMillis = 0;

  const openChannel = (channelId: number): HopChannel => ({
    connection,
    channelId,
    isLoadReportDue: () => {
      const now = options.nowMillis();
      if (now - reportedMillis < REPORT_MILLIS) return false;
      reportedMillis = now;
      return true;
    },
    close: () => {
      channels.delete(channelId);
    },
  });
  const accept = (frame: Frame): void => {
    const {channelId} = frame;
    const decoded = decodeHopRequest(frame.payload);
    if (decoded === undefined) {
      options.onMalformed(peer);
      connection.destroy();
      return;
    }
    const {hopId} = decoded.message;
    const arrival = createIncomingHop({
      request: decoded.message,
      inlineBody: decoded.body,
      channel: openChannel(channelId),
      bodyBytes: options.bodyBytes,
      onAnswered: keptBytes => {
        state.arrivals.end(hopId, keptBytes);
      },
      onDone: () => {
        state.busyCount -= 1;
      },
    });
    // Its sender knows that it has not arrived, and may have sent it
    // elsewhere since.
    if (!state.arrivals.begin(hopId, arrival)) {
      refuse(connection, channelId);
      return;
    }
    state.busyCount += 1;
    channels.set(channelId, arrival);
    void options.handle(arrival);
  };
  const pong = (channelId: number, question: Buffer): void => {
    if (question.length === 0) {
      connection.send(FRAME_KIND.pong, channelId, EMPTY);
      return;
    }
    if (isCrashReport(question)) {
      const report = options.receiveCrashReport(question);
      if (report !== undefined) {
        connection.send(FRAME_KIND.crashes, channelId, report);
      }
      return;
    }
    if (isQuotaReport(question)) {
      const answer = options.answerQuotaReport(question);
      if (answer !== undefined) {
        connection.send(FRAME_KIND.quotas, channelId, answer);
      }
      return;
    }
    const changes = options.answerRelayQuery(question);
    if (changes !== undefined) {
      connection.send(FRAME_KIND.changes, channelId, changes);
      return;
    }
    connection.send(FRAME_KIND.pong, channelId, encodeLoads(options.loads()));
  };
  const claim = (frame: Frame): void => {
    const {channelId} = frame;
    const claimed = state.arrivals.claim(frame.payload.toString());
    connection.send(FRAME_KIND.claimed, channelId, Buffer.from(claimed.state));
    if (claimed.state === 'unknown' || claimed.state === 'gone') return;
    channels.set(channelId, claimed.hop);
    claimed.hop.attach(openChannel(channelId));
  };
  const onFrame = (frame: Frame): void => {
    const {kind, channelId, payload} = frame;
    const arrival = channels.get(channelId);
    switch (kind) {
      case FRAME_KIND.request:
        accept(frame);
        break;
      case FRAME_KIND.body:
        arrival?.receiveBody(payload, false);
        break;
      case FRAME_KIND.bodyEnd:
        arrival?.receiveBody(payload, true);
        break;
      case FRAME_KIND.cancel:
        channels.delete(channelId);
        arrival?.abandon();
        break;
      case FRAME_KIND.window:
        arrival?.extendWindow(payload.readUInt32BE(0));
        break;
      case FRAME_KIND.ping:
        pong(channelId, payload);
        break;
      case FRAME_KIND.claim:
        claim(frame);
        break;
      default:
        options.onMalformed(peer);
        connection.destroy();
    }
  };
  const connection: FrameConnection = acceptFrameConnection(socket, {
    onDataReceived: NOTHING,
    onFrame,
    onClosed: () => {
      const left = [...channels.values()];
      channels.clear();
      for (const arrival of left) arrival.detach(connection);
      onClosed();
    },
  });
  connection.send(FRAME_KIND.hello, 0, Buffer.from(options.instanceId));
  if (state.isClosing) sayGoingAway(connection);
  return connection;
}

function sayGoingAway(connection: FrameConnection): void {
  connection.send(FRAME_KIND.goingAway, 0);
}

function refuse(connection: FrameConnection, channelId: number): void {
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
