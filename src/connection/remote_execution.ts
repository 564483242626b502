/**
 * Sends requests to the nodes beside other upstreams and reads what came of
 * them, with the loads that the answers report.
 */
import {randomBytes} from 'node:crypto';
import type http from 'node:http';
import {createCancelSource} from '../base/cancel_signal.js';
import type {Disposable} from '../base/lifecycle.js';
import type {HopState} from '../process/hop_registry.js';
import type {LoadBoard} from '../process/load_board.js';
import type {Endpoint} from '../process/node_settings.js';
import type {RetryLoan} from '../process/retry_grant.js';
import type {UpstreamEntry} from '../process/upstream_entry.js';
import {
  decodeCalls,
  decodeLoads,
  decodeOutcome,
  encodeOrigin,
  HOP_HEADER,
} from '../protocol/hop_headers.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import type {ExecutionCall, ExecutionEnd} from './execution.js';
import {askPeer} from './hop_questions.js';
import {
  createKeptConnections,
  dropIdleConnections,
} from './kept_connections.js';
import type {PeerWatch} from './peer_watch.js';
import {createPeerWatch} from './peer_watch.js';
import type {ReceivedAnswer} from './received_answer.js';
import {headerOf} from './received_answer.js';
import type {SendEnd} from './send_request.js';
import {sendRequest} from './send_request.js';

/** Executes requests at other hosts. */
export interface RemoteExecution extends Disposable {
  execute(target: UpstreamEntry, call: ExecutionCall): Promise<ExecutionEnd>;
  /** The node beside an upstream did not reply when it was asked last. */
  isLost(target: UpstreamEntry): boolean;
}

/** What it needs. */
export interface RemoteExecutionOptions {
  readonly names: WireHeaders;
  readonly board: LoadBoard;
  readonly nowMillis: () => number;
  /** A node did not reply; so many requests for it were given up. */
  readonly onPeerLost: (peer: Endpoint, hopsCount: number) => void;
  readonly onPeerFound: (peer: Endpoint) => void;
  /** A connection fell silent while its node is well. */
  readonly onHopLost: (peer: Endpoint, state: HopState) => void;
}

/**
 * Bound on opening a connection: some round trips between regions of tens of
 * milliseconds each. A lost first packet is sent again only after a second,
 * when another node has long answered.
 */
const CONNECT_TIMEOUT_MILLIS = 250;

/** Idle connections between nodes; bursts come some seconds apart. */
const MAX_IDLE_MILLIS = 8000;

/** Connections to one node: four times the slots of large upstreams. */
const MAX_SOCKETS_COUNT = 512;

/** Random bytes of the hop ids of one process. */
const HOP_ID_BYTES = 8;

/** Creates the sending side of one node. */
export function createRemoteExecution(
  options: RemoteExecutionOptions,
): RemoteExecution {
  const agent = createKeptConnections({
    maxIdleMillis: MAX_IDLE_MILLIS,
    maxSocketsCount: MAX_SOCKETS_COUNT,
  });
  const watch = createPeerWatch({
    ask: askPeer,
    nowMillis: options.nowMillis,
    onPeerLost: options.onPeerLost,
    onPeerFound: options.onPeerFound,
    onHopLost: (peer, state) => {
      dropIdleConnections(agent, peer);
      options.onHopLost(peer, state);
    },
  });
  return {
    execute: (target, call) =>
      executeResent(options, {agent, watch}, target, call),
    isLost: target => watch.isLost(target.node),
    dispose: () => {
      watch.dispose();
      agent.destroy();
    },
  };
}

interface HopParts {
  readonly agent: http.Agent;
  readonly watch: PeerWatch;
}

/** What one hop is known by, and what goes with it. */
interface HopIdentity {
  readonly hopId: string;
  readonly loan: RetryLoan;
}

/** Why a hop was given up by this node while its caller still waits. */
type GivenUp = 'not-run' | 'unknown';

/**
 * A hop that its node never received was lost with its connection. It cannot
 * run any more, so it is sent once again on another connection.
 */
async function executeResent(
  options: RemoteExecutionOptions,
  parts: HopParts,
  target: UpstreamEntry,
  call: ExecutionCall,
): Promise<ExecutionEnd> {
  const end = await executeHop(options, parts, target, call);
  const isSilent = end.kind === 'refused' && end.reason === 'silent';
  if (!isSilent || call.cancel.isCancelled) return end;
  return executeHop(options, parts, target, call);
}

async function executeHop(
  options: RemoteExecutionOptions,
  {agent, watch}: HopParts,
  target: UpstreamEntry,
  call: ExecutionCall,
): Promise<ExecutionEnd> {
  const source = createCancelSource();
  const callers = call.cancel.onCancel(source.cancel);
  const hopId = newHopId();
  const loan = call.origin.grant.lend();
  let isBodySent = false;
  let givenUp: GivenUp | undefined;
  const giveUp = (how: GivenUp): void => {
    givenUp = how;
    source.cancel();
  };
  const watched = watch.watch({
    hopId,
    peer: target.node,
    startedMillis: options.nowMillis(),
    isExpendable: () => call.isRepeatable || !isBodySent,
    giveUpNotRun: () => {
      giveUp('not-run');
    },
    giveUp: () => {
      giveUp('unknown');
    },
  });
  const end = await sendRequest({
    to: target.node,
    agent,
    method: call.method,
    target: call.target,
    headers: hopHeaders(options, target, call, {hopId, loan}),
    body: call.body,
    isBodyHeldBack: !call.isRepeatable,
    connectTimeoutMillis: CONNECT_TIMEOUT_MILLIS,
    cancel: source.signal,
    onHeard: () => {
      watch.noteHeard(target.node);
    },
    onBodySent: () => {
      isBodySent = true;
    },
  });
  watched.dispose();
  callers.dispose();
  if (givenUp === 'not-run') {
    loan.settle(loan.count);
    return {kind: 'refused', reason: 'silent', retryAfterMillis: 0};
  }
  if (givenUp === 'unknown' && end.kind === 'lost') {
    return {kind: 'unknown', reason: 'silent', hasFailedCall: false};
  }
  return interpret(options, end, call, loan);
}

/** Tells the hops of this process from those of all others. */
const HOP_ID_PREFIX = randomBytes(HOP_ID_BYTES).toString('hex');

let hopsCount = 0;

/** Unique among nodes for as long as it is remembered. */
function newHopId(): string {
  hopsCount += 1;
  return `${HOP_ID_PREFIX}${hopsCount.toString(36)}`;
}

function hopHeaders(
  options: RemoteExecutionOptions,
  target: UpstreamEntry,
  call: ExecutionCall,
  {hopId, loan}: HopIdentity,
): readonly string[] {
  const {names, nowMillis} = options;
  const {origin} = call;
  const now = nowMillis();
  const originText = encodeOrigin({
    importance: origin.importance,
    rootId: origin.rootId,
    rootRouteName: origin.rootRouteName,
    rootAgeMillis: now - origin.rootBeganAtMillis,
    isRepeat: origin.isRepeat,
    repeatsCount: loan.count,
  });
  return [
    ...call.headers,
    ...(names.isAttemptIdRequired ? [] : [names.attemptId, call.attemptId]),
    names.timeoutMillis,
    String(Math.max(1, Math.floor(call.deadlineMillis - now))),
    names.expectedUpstreamId,
    target.id,
    names.callerService,
    call.callerService,
    HOP_HEADER.hopId,
    hopId,
    HOP_HEADER.origin,
    originText,
    HOP_HEADER.startWithin,
    String(Math.max(0, Math.round(call.startByMillis - now))),
    'connection',
    'keep-alive',
  ];
}

function interpret(
  options: RemoteExecutionOptions,
  end: SendEnd,
  call: ExecutionCall,
  loan: RetryLoan,
): ExecutionEnd {
  const isCancelled = call.cancel.isCancelled;
  if (end.kind === 'not-sent') {
    const reason = isCancelled ? 'cancelled' : 'unreachable';
    loan.settle(loan.count);
    return {kind: 'refused', reason, retryAfterMillis: 0};
  }
  if (end.kind === 'lost') {
    const reason = isCancelled ? 'cancelled' : 'connection-lost';
    return {kind: 'unknown', reason, hasFailedCall: false};
  }
  observeLoads(options, end.answer);
  const ended = readOutcome(end.answer, loan);
  if (ended === undefined) {
    end.discardConnection();
    return {kind: 'unknown', reason: 'broken-answer', hasFailedCall: false};
  }
  return ended;
}

function observeLoads(
  options: RemoteExecutionOptions,
  answer: ReceivedAnswer,
): void {
  const text = headerOf(answer.headers, HOP_HEADER.loads);
  if (text === undefined || text === '') return;
  const now = options.nowMillis();
  for (const load of decodeLoads(text)) {
    options.board.observe({...load, madeAtMillis: now - load.ageMillis});
  }
}

function readOutcome(
  answer: ReceivedAnswer,
  loan: RetryLoan,
): ExecutionEnd | undefined {
  const text = headerOf(answer.headers, HOP_HEADER.outcome);
  const fields = text === undefined ? undefined : decodeOutcome(text);
  if (fields === undefined) return undefined;
  loan.settle(fields.unspentCount);
  const {reason, hasFailedCall, retryAfterMillis} = fields;
  switch (fields.outcome) {
    case 'answered': {
      const calls = headerOf(answer.headers, HOP_HEADER.calls) ?? '';
      return {
        kind: 'answered',
        answer,
        calls: decodeCalls(calls),
        hasFailedCall,
      };
    }
    case 'refused':
      return {kind: 'refused', reason, retryAfterMillis};
    case 'unknown':
      return {kind: 'unknown', reason, hasFailedCall};
  }
}
