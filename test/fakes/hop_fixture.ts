/**
 * A sender and a listener of requests between nodes, with a relay between them.
 */
import type {Readable} from 'node:stream';
import type {ExecutionContext} from 'ava';
import type {HopArrival} from '../../src/connection/hop_arrival.js';
import type {HopListener} from '../../src/connection/hop_listener.js';
import {openHopListener} from '../../src/connection/hop_listener.js';
import {createHopPeer} from '../../src/connection/hop_peer.js';
import type {HopEnd, OutgoingHop} from '../../src/connection/outgoing_hop.js';
import {createOutgoingHop} from '../../src/connection/outgoing_hop.js';
import {createPeerWatch} from '../../src/connection/peer_watch.js';
import type {ReceivedAnswer} from '../../src/connection/received_answer.js';
import {createFaultyLink} from '../../src/emulator/faulty_link.js';

const ADDRESS = '127.0.0.1';
const NOTHING = Buffer.alloc(0);
/** Bound on the body of a request. */
export const MAX_BODY_BYTES = 1_000_000;
const nowMillis = (): number => performance.now();

/** A node that executes what `handle` is given, with a relay in front. */
export async function createHopFixture(
  t: ExecutionContext,
  handle: (arrival: HopArrival) => Promise<void>,
) {
  const listen = (instanceId: string): Promise<HopListener> =>
    openHopListener({
      endpoint: {address: ADDRESS, port: 0},
      instanceId,
      bodyBytes: () => MAX_BODY_BYTES,
      handle,
      loads: () => [],
      answerQuestion: () => undefined,
      receiveCrashReport: () => undefined,
      answerQuotaReport: () => undefined,
      nowMillis,
      onMalformed: peer => {
        t.fail(`malformed message from ${peer}`);
      },
    });
  const listener = await listen('first');
  const link = await createFaultyLink({targetPort: listener.port});
  const endpoint = {address: ADDRESS, port: link.port};
  const watch = createPeerWatch({
    nowMillis,
    onPeerLost: () => undefined,
    onPeerFound: () => undefined,
  });
  let replacedCount = 0;
  const peer = createHopPeer({
    endpoint,
    nowMillis,
    onHeard: () => {
      signs.noteHeard();
    },
    onLoads: () => undefined,
    onChanges: () => undefined,
    onReplaced: count => {
      replacedCount += count;
    },
  });
  const signs = watch.add(peer);
  t.teardown(async () => {
    watch.dispose();
    peer.dispose();
    link.close();
    await listener.close();
  });

  /** Sends a request; `ended` holds how it ended. */
  const send = (isRepeatable: boolean, body = NOTHING): SentHop => {
    let hop: OutgoingHop | undefined;
    const ended = new Promise<HopEnd>(resolve => {
      hop = createOutgoingHop({
        body,
        startedMillis: nowMillis(),
        onEnd: resolve,
        request: requestOf(isRepeatable),
      });
      peer.send(hop);
    });
    return {
      ended,
      cancel: () => {
        hop?.lost('cancelled');
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
  };
}

/** A request on its way. */
export interface SentHop {
  readonly ended: Promise<HopEnd>;
  cancel(): void;
}

function requestOf(isRepeatable: boolean) {
  return {
    attemptId: 'a',
    upstreamId: 'u',
    callerService: 'shop',
    method: 'GET',
    target: '/',
    headers: [],
    isRepeatable,
    leftMillis: 5000,
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

/** Answers with a text, and the rest if there is one. */
export function answerWith(
  arrival: HopArrival,
  text: string,
  rest?: Readable,
): void {
  const received: ReceivedAnswer = {
    statusCode: 200,
    headers: [],
    start: Buffer.from(text),
    rest,
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

/** The beginning of the answer, or how the request ended without one. */
export function startOf(end: HopEnd): string {
  if (end.kind !== 'answer') return `${end.kind} ${end.reason}`;
  return end.received?.start.toString() ?? 'no answer';
}
