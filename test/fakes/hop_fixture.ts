/**
 * Sender and listener of requests between nodes, connected through a faulty link.
 */
import type {Readable} from 'node:stream';
import type {ExecutionContext} from 'ava';
import type {SuspicionCause} from '../../src/connection/execution.js';
import type {IncomingHop} from '../../src/connection/incoming_hop.js';
import type {HopListener} from '../../src/connection/hop_listener.js';
import {openHopListener} from '../../src/connection/hop_listener.js';
import {createHopPeer} from '../../src/connection/hop_peer.js';
import type {
  HopResult,
  OutgoingHop,
} from '../../src/connection/outgoing_hop.js';
import {createOutgoingHop} from '../../src/connection/outgoing_hop.js';
import {createPeerMonitor} from '../../src/connection/peer_monitor.js';
import type {ReceivedResponse} from '../../src/connection/received_response.js';
import {createFaultyLink} from '../../src/emulator/faulty_link.js';

const ADDRESS = '127.0.0.1';
const EMPTY_BODY = Buffer.alloc(0);
/** Maximum size of a request body. */
export const MAX_BODY_BYTES = 1_000_000;
const LEFT_MILLIS = 5000;
const nowMillis = (): number => performance.now();

export interface HopFixtureOptions {
  /** The sender checks its connections for silence; the default. */
  readonly isMonitored?: boolean;
  /** Time until the deadline of each request. */
  readonly leftMillis?: number;
}

/** Starts a listener that passes requests to `handle`, and a peer that sends to it. */
export async function createHopFixture(
  t: ExecutionContext,
  handle: (arrival: IncomingHop) => Promise<void>,
  {isMonitored = true, leftMillis = LEFT_MILLIS}: HopFixtureOptions = {},
) {
  const listen = (instanceId: string): Promise<HopListener> =>
    openHopListener({
      endpoint: {address: ADDRESS, port: 0},
      instanceId,
      bodyBytes: () => MAX_BODY_BYTES,
      handle,
      loads: () => [],
      acceptRelayQuery: () => false,
      receiveCrashReport: () => undefined,
      answerQuotaReport: () => undefined,
      nowMillis,
      onResumed: () => undefined,
      onMalformed: peer => {
        t.fail(`malformed message from ${peer}`);
      },
    });
  const listener = await listen('first');
  const link = await createFaultyLink({targetPort: listener.port});
  const endpoint = {address: ADDRESS, port: link.port};
  const monitor = createPeerMonitor({
    nowMillis,
    onPeerLost: () => undefined,
    onPeerFound: () => undefined,
  });
  let replacedCount = 0;
  const peer = createHopPeer({
    endpoint,
    nowMillis,
    onDataReceived: () => {
      activity?.recordActivity();
    },
    onLoads: () => undefined,
    onHopsResumed: count => {
      replacedCount += count;
    },
  });
  const activity = isMonitored ? monitor.add(peer) : undefined;
  t.teardown(async () => {
    monitor.dispose();
    peer.dispose();
    link.close();
    await listener.close();
  });

  /** Sends a request; `ended` resolves with its result. */
  const send = (
    isRepeatable: boolean,
    body = EMPTY_BODY,
    attemptId = 'a',
  ): SentHop => {
    let hop: OutgoingHop | undefined;
    const suspicions: SuspicionCause[] = [];
    const ended = new Promise<HopResult>(resolve => {
      hop = createOutgoingHop({
        body,
        startedMillis: nowMillis(),
        onSuspected: cause => {
          suspicions.push(cause);
        },
        onEnd: resolve,
        request: {
          ...createHopRequest(isRepeatable, attemptId),
          leftMillis,
        },
      });
      peer.send(hop);
    });
    return {
      ended,
      suspicions,
      cancel: () => {
        hop?.fail('cancelled');
      },
    };
  };
  return {
    listener,
    listen,
    link,
    peer,
    send,
    replacedCount: () => replacedCount,
    /** Changes the address to which the sender connects. */
    setAddress: (address: string) => {
      endpoint.address = address;
    },
  };
}

/** A request in flight. */
export interface SentHop {
  readonly ended: Promise<HopResult>;
  /** Reports that the upstream or its node may have ended. */
  readonly suspicions: readonly SuspicionCause[];
  cancel(): void;
}

/** A request without a body of its own. */
export function createHopRequest(isRepeatable: boolean, attemptId = 'a') {
  return {
    attemptId,
    upstreamId: 'u',
    callerService: 'shop',
    method: 'GET',
    target: '/',
    headers: [],
    isRepeatable,
    leftMillis: LEFT_MILLIS,
    startWithinMillis: 5000,
    origin: {
      importance: 0,
      rootId: 'a',
      rootRouteName: 'r',
      rootAgeMillis: 0,
      isRepeat: false,
      repeatsCount: 0,
    },
  };
}

/** Responds with a text, and with the rest of the body if there is one. */
export function respondWith(
  arrival: IncomingHop,
  text: string,
  bodyRest?: Readable,
): void {
  const received: ReceivedResponse = {
    statusCode: 200,
    headers: [],
    bodyStart: Buffer.from(text),
    bodyRest,
    isUnframed: false,
  };
  arrival.answer({
    answer: {
      outcome: 'answered',
      reason: 'none',
      hasFailedCall: false,
      unspentCount: 0,
      calls: new Map(),
      loads: [],
    },
    received,
  });
}

/** Returns the start of the response body, or the kind and reason of the failure. */
export function describeResult(end: HopResult): string {
  if (end.kind !== 'answer') return `${end.kind} ${end.reason}`;
  return end.received?.bodyStart.toString() ?? 'no answer';
}
