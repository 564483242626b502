/**
 * Sends requests to the nodes of other upstreams, and processes their results
 * and the loads in their responses.
 */
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore, createIntervalTimer} from '../base/lifecycle.js';
import {formatEndpoint} from '../process/settings/format_endpoint.js';
import type {LoadTable} from '../process/admission/load_table.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import type {PeerPositions} from '../process/membership/peer_positions.js';
import type {ReplyTimeout} from '../process/membership/reply_timeout.js';
import {createReplyTimeout} from '../process/membership/reply_timeout.js';
import type {DelegatedRetries} from '../process/retries/retry_grant.js';
import type {UpstreamEntry} from '../process/membership/upstream_entry.js';
import type {
  HopRequest,
  LoadFields,
  PositionFields,
} from '../protocol/hop_messages.js';
import {LOADS_QUERY} from '../protocol/load_codec.js';
import {sendCrashReport} from './crash_report_sender.js';
import type {ExecutionCall, ExecutionResult} from './execution.js';
import {refusalEvidence} from './execution.js';
import type {HopPeer} from './hop_peer.js';
import {createHopPeer} from './hop_peer.js';
import type {HopResult} from './outgoing_hop.js';
import {createOutgoingHop} from './outgoing_hop.js';
import type {PeerMonitor} from './peer_monitor.js';
import {createPeerMonitor} from './peer_monitor.js';

/** Executes requests at other hosts. */
export interface RemoteExecution extends Disposable {
  execute(target: UpstreamEntry, call: ExecutionCall): Promise<ExecutionResult>;
  /** The node of an upstream did not reply to the last probe. */
  isLost(target: UpstreamEntry): boolean;
  /** Queries the loads that the node of an upstream has recorded. */
  queryLoads(target: UpstreamEntry): void;
  /** Sends a crash report to a node; the report may request crashes from it. */
  sendCrashReport(peer: Endpoint, report: Buffer): void;
}

export interface RemoteExecutionOptions {
  readonly loadTable: LoadTable;
  readonly peerPositions: PeerPositions;
  readonly nowMillis: () => number;
  /** A node did not reply; this many requests to it were failed. */
  readonly onPeerLost: (peer: Endpoint, hopsCount: number) => void;
  readonly onPeerFound: (peer: Endpoint) => void;
  /** A node responded to a crash report with crashes that are missing here. */
  readonly onCrashReport: (peer: Endpoint, report: Buffer) => void;
  /**
   * A connection was lost; this many of its requests were resumed on another
   * one.
   */
  readonly onConnectionReplaced: (peer: Endpoint, hopsCount: number) => void;
  /** A request is sent again to a node that never received it. */
  readonly onResent: (target: UpstreamEntry, call: ExecutionCall) => void;
}

/** Interval of the check for idle connections. */
const IDLE_CHECK_INTERVAL_MILLIS = 1000;

/** Creates the sending side of one node. */
export function createRemoteExecution(
  options: RemoteExecutionOptions,
): RemoteExecution {
  const disposables = createDisposableStore();
  const replyTimeout = createReplyTimeout();
  const lostPeers = new Set<string>();
  const monitor = disposables.add(
    createPeerMonitor({
      nowMillis: options.nowMillis,
      replyTimeout,
      onPeerLost: (peer, hopsCount) => {
        lostPeers.add(formatEndpoint(peer));
        options.onPeerLost(peer, hopsCount);
      },
      onPeerFound: peer => {
        lostPeers.delete(formatEndpoint(peer));
        options.onPeerFound(peer);
      },
    }),
  );
  const peers = createPeers(options, monitor, replyTimeout);
  disposables.add(peers);
  const execution: ExecutionContext = {options, getPeer: peers.get};
  return {
    execute: (target, call) => executeWithResend(execution, target, call),
    // Asked for each candidate of each request; usually no node is lost.
    isLost: target =>
      lostPeers.size > 0 && lostPeers.has(formatEndpoint(target.node)),
    queryLoads: target => {
      peers.get(target.node).sendQuery(LOADS_QUERY);
    },
    sendCrashReport: (peer, report) => {
      sendCrashReport(peer, report, response => {
        options.onCrashReport(peer, response);
      });
    },
    dispose: disposables.dispose,
  };
}

interface PeerRegistry extends Disposable {
  get(endpoint: Endpoint): HopPeer;
}

/** Creates the registry of nodes to which requests have been sent. */
function createPeers(
  options: RemoteExecutionOptions,
  monitor: PeerMonitor,
  replyTimeout: ReplyTimeout,
): PeerRegistry {
  const peers = new Map<string, HopPeer>();
  const timer = createIntervalTimer(IDLE_CHECK_INTERVAL_MILLIS, () => {
    for (const peer of peers.values()) peer.closeIdleConnections();
  });
  return {
    get: endpoint => {
      const key = formatEndpoint(endpoint);
      const existing = peers.get(key);
      if (existing !== undefined) return existing;
      const peer = createHopPeer({
        endpoint,
        nowMillis: options.nowMillis,
        replyTimeout,
        onDataReceived: () => {
          liveness.recordActivity();
        },
        onLoads: loads => {
          observeLoads(options, loads);
        },
        onHopsResumed: hopsCount => {
          options.onConnectionReplaced(endpoint, hopsCount);
        },
      });
      const liveness = monitor.add(peer);
      peers.set(key, peer);
      return peer;
    },
    dispose: () => {
      timer.dispose();
      for (const peer of peers.values()) peer.dispose();
    },
  };
}

interface ExecutionContext {
  readonly options: RemoteExecutionOptions;
  readonly getPeer: (endpoint: Endpoint) => HopPeer;
}

/**
 * Resends a hop once on another connection if its node never received it: the
 * hop was lost with its connection and cannot run any more.
 */
function executeWithResend(
  execution: ExecutionContext,
  target: UpstreamEntry,
  call: ExecutionCall,
): Promise<ExecutionResult> {
  return new Promise(resolve => {
    executeHop(execution, target, call, result => {
      const isSilent = result.kind === 'refused' && result.reason === 'silent';
      if (isSilent && !call.cancel.isCancelled) {
        execution.options.onResent(target, call);
        executeHop(execution, target, call, resolve);
      } else {
        resolve(result);
      }
    });
  });
}

function executeHop(
  {options, getPeer}: ExecutionContext,
  target: UpstreamEntry,
  call: ExecutionCall,
  onEnd: (result: ExecutionResult) => void,
): void {
  const {cause} = call.cancel;
  if (cause !== undefined) {
    onEnd({kind: 'refused', reason: cause, evidence: 'not-sent'});
    return;
  }
  const delegatedRetries = call.origin.grant.delegate();
  const now = options.nowMillis();
  const hop = createOutgoingHop({
    request: createHopRequest(target, call, {
      delegatedRetries,
      now,
      knownPosition: options.peerPositions.applied,
    }),
    body: call.body,
    startedMillis: now,
    onSuspected: call.onSuspected,
    onEnd: result => {
      cancelListener.dispose();
      onEnd(handleHopResult(options, result, delegatedRetries));
    },
  });
  const cancelListener = call.cancel.onCancel(reason => {
    hop.fail(reason);
  });
  getPeer(target.node).send(hop);
}

/** Sender state that a hop carries. */
interface SenderFields {
  readonly delegatedRetries: DelegatedRetries;
  readonly now: number;
  readonly knownPosition: PositionFields;
}

function createHopRequest(
  target: UpstreamEntry,
  call: ExecutionCall,
  {delegatedRetries, now, knownPosition}: SenderFields,
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
      repeatsCount: delegatedRetries.count,
    },
    knownPosition,
  };
}

function handleHopResult(
  options: RemoteExecutionOptions,
  result: HopResult,
  delegatedRetries: DelegatedRetries,
): ExecutionResult {
  switch (result.kind) {
    case 'not-run':
      delegatedRetries.reclaim(delegatedRetries.count);
      return {
        kind: 'refused',
        reason: result.reason,
        evidence: result.evidence,
      };
    case 'lost':
      return {kind: 'unknown', reason: result.reason, hasFailedCall: false};
    case 'answer':
      delegatedRetries.reclaim(result.answer.unspentCount);
      observeLoads(options, result.answer.loads);
      options.peerPositions.recordPeerPosition(result.answer.knownPosition);
      return toExecutionResult(result);
  }
}

function toExecutionResult({
  answer,
  received,
}: Extract<HopResult, {kind: 'answer'}>): ExecutionResult {
  const {outcome, reason, hasFailedCall, calls, crashesCount} = answer;
  if (outcome === 'refused') {
    return {kind: 'refused', reason, evidence: refusalEvidence(reason)};
  }
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
