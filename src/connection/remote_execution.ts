/**
 * Sends requests to the nodes beside other upstreams and reads what came of
 * them, with the loads that the answers report.
 */
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore, createIntervalTimer} from '../base/lifecycle.js';
import {formatEndpoint} from '../process/settings/format_endpoint.js';
import type {LoadTable} from '../process/admission/load_table.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import type {PeerPositions} from '../process/membership/peer_positions.js';
import type {ReplyTimeout} from '../process/membership/reply_timeout.js';
import {createReplyTimeout} from '../process/membership/reply_timeout.js';
import type {DelegatedRetries} from '../process/repeats/retry_grant.js';
import type {UpstreamEntry} from '../process/membership/upstream_entry.js';
import type {
  HopRequest,
  LoadFields,
  PositionFields,
} from '../protocol/hop_messages.js';
import {LOADS_QUERY} from '../protocol/load_codec.js';
import {sendCrashReport} from './crash_report_sender.js';
import type {ExecutionCall, ExecutionResult} from './execution.js';
import type {HopPeer} from './hop_peer.js';
import {createHopPeer} from './hop_peer.js';
import type {HopResult} from './outgoing_hop.js';
import {createOutgoingHop} from './outgoing_hop.js';
import type {PeerLiveness, PeerMonitor} from './peer_monitor.js';
import {createPeerMonitor} from './peer_monitor.js';

/** Executes requests at other hosts. */
export interface RemoteExecution extends Disposable {
  execute(target: UpstreamEntry, call: ExecutionCall): Promise<ExecutionResult>;
  /** The node beside an upstream did not reply when it was asked last. */
  isLost(target: UpstreamEntry): boolean;
  /** Asks the node beside an upstream for what it knows of loads. */
  queryLoads(target: UpstreamEntry): void;
  /** Asks it for changes of the published documents; `undefined` without answer. */
  queryChanges(
    target: UpstreamEntry,
    question: Buffer,
  ): Promise<Buffer | undefined>;
  /** Sends a node a report of crashes, or asks it for one. */
  sendCrashReport(peer: Endpoint, report: Buffer): void;
}

/** What it needs. */
export interface RemoteExecutionOptions {
  readonly loadTable: LoadTable;
  readonly peerPositions: PeerPositions;
  readonly nowMillis: () => number;
  /** A node did not reply; so many requests for it were given up. */
  readonly onPeerLost: (peer: Endpoint, hopsCount: number) => void;
  readonly onPeerFound: (peer: Endpoint) => void;
  /** A node answered a report of crashes with what this one lacks. */
  readonly onCrashReport: (peer: Endpoint, report: Buffer) => void;
  /** A connection was lost; so many requests on it went on elsewhere. */
  readonly onConnectionReplaced: (peer: Endpoint, hopsCount: number) => void;
}

/**
 * Time that a node has to answer a question for changes. Not the reply bound, which
 * grows in a busy fleet: two nodes that do not answer, one after the other, must
 * leave time for a call to the source within the shortest bound on documents.
 */
export const CHANGES_QUERY_TIMEOUT_MILLIS = 400;

/** Interval at which idle connections are looked for. */
const EXPIRE_MILLIS = 1000;

/** Creates the sending side of one node. */
export function createRemoteExecution(
  options: RemoteExecutionOptions,
): RemoteExecution {
  const store = createDisposableStore();
  const replyBound = createReplyTimeout();
  const watch = store.add(createPeerMonitor({...options, replyBound}));
  const peers = createPeers(options, watch, replyBound);
  store.add(peers);
  const execution: HopExecution = {options, peerOf: peers.of};
  return {
    execute: (target, call) => executeResent(execution, target, call),
    isLost: target => peers.isLost(target.node),
    queryLoads: target => {
      peers.of(target.node).sendQuery(LOADS_QUERY);
    },
    queryChanges: (target, question) =>
      new Promise(resolve => {
        const timer = setTimeout(() => {
          resolve(undefined);
        }, CHANGES_QUERY_TIMEOUT_MILLIS);
        peers.onChanges(target.node, answer => {
          clearTimeout(timer);
          resolve(answer);
        });
        peers.of(target.node).sendQuery(question);
      }),
    sendCrashReport: (peer, report) => {
      sendCrashReport(peer, report, answer => {
        options.onCrashReport(peer, answer);
      });
    },
    dispose: store.dispose,
  };
}

interface Peers extends Disposable {
  of(endpoint: Endpoint): HopPeer;
  isLost(endpoint: Endpoint): boolean;
  /** Calls the listener with the next answer of a node; the last one counts. */
  onChanges(endpoint: Endpoint, listener: (answer: Buffer) => void): void;
}

/** A node that requests have been sent to. */
interface KnownPeer {
  readonly peer: HopPeer;
  readonly signs: PeerLiveness;
}

/** Nodes that requests have been sent to. */
function createPeers(
  options: RemoteExecutionOptions,
  watch: PeerMonitor,
  replyBound: ReplyTimeout,
): Peers {
  const peers = new Map<string, KnownPeer>();
  const changesListeners = new Map<string, (answer: Buffer) => void>();
  const timer = createIntervalTimer(EXPIRE_MILLIS, () => {
    for (const {peer} of peers.values()) peer.closeIdleConnections();
  });
  return {
    of: endpoint => {
      const key = formatEndpoint(endpoint);
      const known = peers.get(key);
      if (known !== undefined) return known.peer;
      const peer = createHopPeer({
        endpoint,
        nowMillis: options.nowMillis,
        replyBound,
        onDataReceived: () => {
          signs.recordActivity();
        },
        onLoads: loads => {
          observeLoads(options, loads);
        },
        onChanges: answer => {
          const listener = changesListeners.get(key);
          changesListeners.delete(key);
          listener?.(answer);
        },
        onHopsResumed: hopsCount => {
          options.onConnectionReplaced(endpoint, hopsCount);
        },
      });
      const signs = watch.add(peer);
      peers.set(key, {peer, signs});
      return peer;
    },
    isLost: endpoint =>
      peers.get(formatEndpoint(endpoint))?.signs.isLost ?? false,
    onChanges: (endpoint, listener) => {
      changesListeners.set(formatEndpoint(endpoint), listener);
    },
    dispose: () => {
      timer.dispose();
      for (const {peer} of peers.values()) peer.dispose();
    },
  };
}

interface HopExecution {
  readonly options: RemoteExecutionOptions;
  readonly peerOf: (endpoint: Endpoint) => HopPeer;
}

/**
 * A hop that its node never received was lost with its connection. It cannot
 * run any more, so it is sent once again on another connection.
 */
function executeResent(
  execution: HopExecution,
  target: UpstreamEntry,
  call: ExecutionCall,
): Promise<ExecutionResult> {
  return new Promise(resolve => {
    executeHop(execution, target, call, end => {
      const isSilent = end.kind === 'refused' && end.reason === 'silent';
      if (isSilent && !call.cancel.isCancelled) {
        executeHop(execution, target, call, resolve);
      } else {
        resolve(end);
      }
    });
  });
}

function executeHop(
  {options, peerOf}: HopExecution,
  target: UpstreamEntry,
  call: ExecutionCall,
  onEnd: (end: ExecutionResult) => void,
): void {
  if (call.cancel.isCancelled) {
    onEnd({kind: 'refused', reason: 'cancelled'});
    return;
  }
  const loan = call.origin.grant.delegate();
  const now = options.nowMillis();
  const hop = createOutgoingHop({
    request: requestOf(target, call, {
      loan,
      now,
      knownPosition: options.peerPositions.applied,
    }),
    body: call.body,
    startedMillis: now,
    onEnd: how => {
      callers.dispose();
      onEnd(interpret(options, how, loan));
    },
  });
  const callers = call.cancel.onCancel(() => {
    hop.fail('cancelled');
  });
  peerOf(target.node).send(hop);
}

/** What a hop carries of its sender. */
interface HopParts {
  readonly loan: DelegatedRetries;
  readonly now: number;
  readonly knownPosition: PositionFields;
}

function requestOf(
  target: UpstreamEntry,
  call: ExecutionCall,
  {loan, now, knownPosition}: HopParts,
): Omit<HopRequest, 'hopId' | 'bodyForm'> {
  const {origin} = call;
  return {
    attemptId: call.attemptId,
    upstreamId: target.id,
    callerService: call.callerService,
    method: call.method,
    target: call.target,
    headers: call.headers,
    isRepeatable: call.isRepeatable,
    leftMillis: Math.max(1, call.deadlineMillis - now),
    startWithinMillis: Math.max(0, call.startByMillis - now),
    usualMillis: call.usualMillis,
    origin: {
      importance: origin.importance,
      organisationName: origin.organisationName,
      rootId: origin.rootId,
      rootRouteName: origin.rootRouteName,
      rootAgeMillis: now - origin.rootBeganAtMillis,
      isRepeat: origin.isRepeat,
      repeatsCount: loan.count,
    },
    knownPosition,
  };
}

function interpret(
  options: RemoteExecutionOptions,
  end: HopResult,
  loan: DelegatedRetries,
): ExecutionResult {
  switch (end.kind) {
    case 'not-run':
      loan.reclaim(loan.count);
      return {kind: 'refused', reason: end.reason};
    case 'lost':
      return {kind: 'unknown', reason: end.reason, hasFailedCall: false};
    case 'answer':
      loan.reclaim(end.answer.unspentCount);
      observeLoads(options, end.answer.loads);
      options.peerPositions.recordPeerPosition(end.answer.knownPosition);
      return endOf(end);
  }
}

function endOf({
  answer,
  received,
}: Extract<HopResult, {kind: 'answer'}>): ExecutionResult {
  const {outcome, reason, hasFailedCall, calls, crashesCount} = answer;
  if (outcome === 'refused') return {kind: 'refused', reason};
  if (outcome === 'unknown' || received === undefined) {
    return {kind: 'unknown', reason, hasFailedCall, crashesCount};
  }
  return {kind: 'answered', answer: received, calls, hasFailedCall};
}

function observeLoads(
  options: RemoteExecutionOptions,
  loads: readonly LoadFields[],
): void {
  const now = options.nowMillis();
  for (const load of loads) {
    options.loadTable.observe({...load, madeAtMillis: now - load.ageMillis});
  }
}
