/**
 * Wiring of the requests of one node: what enters, and what other nodes send.
 */
import type {Disposable} from '../base/lifecycle.js';
import type {ExecutionEnd} from '../connection/execution.js';
import type {PeerRelay} from '../connection/peer_relay.js';
import {createPeerRelay} from '../connection/peer_relay.js';
import type {
  RemoteExecution,
  RemoteExecutionOptions,
} from '../connection/remote_execution.js';
import {createRemoteExecution} from '../connection/remote_execution.js';
import {createUpstreamSender} from '../connection/upstream_sender.js';
import {createAttemptPatience} from '../process/repeats/attempt_patience.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import {createEntryGate} from '../process/admission/entry_gate.js';
import type {LoadReport} from '../process/admission/load_board.js';
import type {NodeMetrics} from '../process/log/node_metrics.js';
import type {
  Endpoint,
  NodeSettings,
} from '../process/settings/node_settings.js';
import type {StopPlan} from '../process/stop/stop_plan.js';
import {createWeightedTargets} from '../process/placement/weighted_targets.js';
import {createKnownDocuments} from '../process/membership/known_documents.js';
import type {UpstreamEntry} from '../process/membership/upstream_entry.js';
import {createWatcherSelection} from '../process/membership/watcher_selection.js';
import type {LoadFields} from '../protocol/hop_messages.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import type {AttemptedRequest} from '../request/attempted_request.js';
import {createAttempts} from '../request/attempts.js';
import {createEntryAnswers} from '../request/entry_answers.js';
import type {InboundExchanges} from '../request/inbound_exchange.js';
import {createInboundExchanges} from '../request/inbound_exchange.js';
import type {LocalCall, LocalExecution} from '../request/local_execution.js';
import {createLocalExecution} from '../request/local_execution.js';
import type {OutboundExchanges} from '../request/outbound_exchange.js';
import {createOutboundExchanges} from '../request/outbound_exchange.js';
import type {OpenRequests} from '../request/open_requests.js';
import {createOpenRequests} from '../request/open_requests.js';
import {createRepeatRules} from '../request/repeat_rules.js';
import type {CrashHandling} from './crash_handling.js';
import {startCrashHandling} from './crash_handling.js';
import type {NodeDecisions} from './node_decisions.js';
import type {QuotaHandling} from './quota_handling.js';
import {startQuotaHandling} from './quota_handling.js';

/** What the exchanges need. */
export interface NodeExchangesOptions {
  readonly settings: () => NodeSettings;
  readonly names: WireHeaders;
  readonly decisions: NodeDecisions;
  readonly log: DecisionLog;
  readonly metrics: NodeMetrics;
  readonly stop: StopPlan;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Handlers of both listeners. */
export interface NodeExchanges extends Disposable {
  readonly outbound: OutboundExchanges;
  readonly inbound: InboundExchanges;
  /** Requests that entered here and have no answer yet. */
  readonly open: OpenRequests;
  /** Changes of the published documents from other nodes and for them. */
  readonly relay: PeerRelay;
  /** Requests that crash upstreams, and what is known of them. */
  readonly crashes: CrashHandling;
  /** Quotas of organisations. */
  readonly quotas: QuotaHandling;
  /** Loads for a node that asks for them. */
  loads(): readonly LoadFields[];
  /** Asks about services whose loads are heard of no more. */
  askLoads(): void;
  /** Requests at the own upstream or waiting for it. */
  readonly executingCount: number;
}

/** Loads of other upstreams that one answer reports at most. */
const REPORTED_LOADS_COUNT = 6;

/** Creates the handlers of one node. */
export function createNodeExchanges(
  options: NodeExchangesOptions,
): NodeExchanges {
  const {settings, names, decisions, nowMillis, random} = options;
  const {upstream, queue, level, parents} = decisions;
  const sender = createUpstreamSender(settings().upstream, names);
  const started = upstream.onStarted(sender.dropIdle);
  const remote = createRemote(options, {
    onCrashReport: (peer, report) => {
      crashes.gossip.receiveAnswer(peer, report);
    },
    onPeerFound: peer => {
      crashes.gossip.compareWith(peer);
    },
  });
  const crashes = startCrashHandling({
    ...options,
    upstream: () => settings().upstream,
    peers: () => otherNodes(options),
    send: remote.sendCrashReport,
    onCrash: upstream.markUnreachable,
  });
  const quotas = startQuotaHandling({...options, ...decisions});
  const execution = createLocalExecution({
    upstream,
    queue,
    level,
    rejections: decisions.rejections,
    slowness: decisions.slowness,
    parents,
    crashes: crashes.detector,
    quarantine: crashes.quarantine,
    sender,
    budget: decisions.budget,
    trees: decisions.trees,
    ownService: () => settings().service,
    nowMillis,
    onMisdirected: (call, actualId) => {
      options.metrics.recordMisdirected();
      options.log.request('misdirected', {
        requestId: call.attemptId,
        rootId: call.origin.rootId,
        upstream: call.upstreamId,
        actualUpstream: actualId,
      });
    },
  });
  let executingCount = 0;
  const local: LocalExecution = {
    execute: async call => {
      executingCount += 1;
      const end = await execution.execute(call);
      executingCount -= 1;
      decisions.reportOwnLoad();
      return end;
    },
  };
  const open = createOpenRequests(options.log, nowMillis);
  const outbound = createOutboundExchanges({
    ...decisions,
    names,
    open,
    stop: options.stop,
    ownService: () => settings().service,
    gate: createEntryGate(decisions.board, service =>
      decisions.directory
        .ready(service)
        .some(({entry}) => !remote.isLost(entry)),
    ),
    targets: createWeightedTargets(random),
    quotas: quotas.exchange,
    attempts: createAttempts({
      placement: decisions.placement,
      rules: createRepeatRules({...decisions, nowMillis}),
      quarantine: crashes.quarantine,
      patience: createAttemptPatience(),
      stop: options.stop,
      hostKey: settings().hostKey,
      local,
      remote,
      nowMillis,
      onAttempt: end => {
        countAttempt(options, end);
      },
      onRetry: (request, reason) => {
        options.metrics.recordRetry(reason);
        logRetry(options, request, reason);
      },
    }),
    answers: createEntryAnswers({
      log: options.log,
      metrics: options.metrics,
      notes: names.notes,
      stop: options.stop,
      configurationVersion: decisions.configurationVersion,
      levelOf: decisions.board.levelOf,
      nowMillis,
      random,
    }),
    nowMillis,
  });
  const inbound = createInboundExchanges({
    execution: local,
    peerPositions: decisions.peerPositions,
    ownLoad: decisions.reportOwnLoad,
    otherLoads: () => otherLoads(decisions),
    nowMillis,
    onEnd: (call, end) => {
      logEnd(options, call, end);
    },
  });
  return {
    outbound,
    inbound,
    open,
    relay: createRelay(options, remote),
    crashes,
    quotas,
    loads: inbound.loads,
    askLoads: () => {
      for (const service of decisions.questions.due()) {
        const entry = askedOf(options, remote, service);
        if (entry !== undefined) remote.askLoads(entry);
      }
    },
    get executingCount() {
      return executingCount;
    },
    dispose: () => {
      started.dispose();
      crashes.dispose();
      quotas.dispose();
      sender.dispose();
      remote.dispose();
    },
  };
}

function createRelay(
  {decisions, settings, log, nowMillis}: NodeExchangesOptions,
  remote: RemoteExecution,
): PeerRelay {
  const {hostKey, zone} = settings();
  return createPeerRelay({
    selection: createWatcherSelection({
      hosts: decisions.directory.hosts,
      ownHostKey: hostKey,
      zone,
      nowMillis,
    }),
    documents: createKnownDocuments(),
    send: remote.askChanges,
    onAsked: (entry, end) => {
      if (end !== 'failed') return;
      log.request('relay-failed', {peer: entry.node.address});
    },
  });
}

/** Any that replies: the one asked knows of the others of its service. */
function askedOf(
  {decisions, settings, random}: NodeExchangesOptions,
  remote: RemoteExecution,
  service: string,
): UpstreamEntry | undefined {
  const entries = decisions.directory
    .ready(service)
    .map(upstream => upstream.entry)
    .filter(entry => entry.hostKey !== settings().hostKey)
    .filter(entry => !remote.isLost(entry));
  return entries[Math.floor(random() * entries.length)];
}

/** Nodes beside all other upstreams. */
function otherNodes({
  decisions,
  settings,
}: NodeExchangesOptions): readonly Endpoint[] {
  return [...decisions.directory.hosts()]
    .filter(({entry}) => entry.hostKey !== settings().hostKey)
    .map(({entry}) => entry.node);
}

function createRemote(
  options: NodeExchangesOptions,
  {
    onCrashReport,
    onPeerFound,
  }: Pick<RemoteExecutionOptions, 'onCrashReport' | 'onPeerFound'>,
): RemoteExecution {
  return createRemoteExecution({
    board: options.decisions.board,
    peerPositions: options.decisions.peerPositions,
    nowMillis: options.nowMillis,
    onPeerLost: (peer, hopsCount) => {
      options.log.request('peer-lost', {peer: peer.address, hopsCount});
    },
    onPeerFound: peer => {
      options.log.request('peer-found', {peer: peer.address});
      onPeerFound(peer);
    },
    onCrashReport,
    onLinkLost: (peer, hopsCount) => {
      options.log.request('connection-replaced', {
        peer: peer.address,
        hopsCount,
      });
    },
  });
}

function countAttempt(options: NodeExchangesOptions, end: ExecutionEnd): void {
  if (end.kind === 'refused') options.metrics.recordRefusal(end.reason);
  else if (end.kind === 'unknown') options.metrics.recordUnknown(end.reason);
}

function logRetry(
  options: NodeExchangesOptions,
  request: AttemptedRequest,
  reason: string,
): void {
  options.log.request('retry', {
    requestId: request.call.attemptId,
    route: request.route.name,
    service: request.service,
    reason,
  });
}

/** Logs what became of a request at the own upstream. */
function logEnd(
  options: NodeExchangesOptions,
  call: LocalCall,
  end: ExecutionEnd,
): void {
  if (end.kind === 'answered') return;
  const {queue, level} = options.decisions;
  options.log.request('not-executed', {
    requestId: call.attemptId,
    rootId: call.origin.rootId,
    outcome: end.kind,
    reason: end.reason,
    ...queue.load(),
    admissionLevel: level.level(),
  });
}

/** What has been heard of other upstreams that shed. */
function otherLoads(decisions: NodeDecisions): readonly LoadReport[] {
  const own = decisions.reportOwnLoad();
  return decisions.board
    .shedding()
    .filter(report => report.upstreamId !== own?.upstreamId)
    .slice(0, REPORTED_LOADS_COUNT);
}
