/**
 * Creates and connects the request handlers of a node, for requests that enter here and
 * for those that other nodes forward.
 */
import type {Disposable} from '../base/lifecycle.js';
import type {PeerRelay} from '../connection/peer_relay.js';
import type {
  RemoteExecution,
  RemoteExecutionOptions,
} from '../connection/remote_execution.js';
import {createRemoteExecution} from '../connection/remote_execution.js';
import {createUnframedBodies} from '../connection/unframed_bodies.js';
import {createUpstreamSender} from '../connection/upstream_sender.js';
import type {StartedOrders} from '../process/retries/started_orders.js';
import {
  createStartedOrders,
  NO_STARTED_ORDERS,
} from '../process/retries/started_orders.js';
import {createAttemptTimeouts} from '../process/retries/attempt_timeouts.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import {createCallTreeProbes} from '../process/admission/call_tree_probes.js';
import {createCompletionThrottle} from '../process/admission/completion_throttle.js';
import {createEntryAdmission} from '../process/admission/entry_admission.js';
import type {LoadReport} from '../process/admission/load_table.js';
import type {NodeMetrics} from '../process/log/node_metrics.js';
import type {
  Endpoint,
  NodeSettings,
} from '../process/settings/node_settings.js';
import type {StopPlan} from '../process/stop/stop_plan.js';
import {createWeightedTargets} from '../process/placement/weighted_targets.js';
import type {UpstreamEntry} from '../process/membership/upstream_entry.js';
import {isCancelCause} from '../protocol/cancel_cause.js';
import type {LoadFields} from '../protocol/hop_messages.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import {createAttemptRunner} from '../request/attempt_runner.js';
import {createEntryResponder} from '../request/entry_responder.js';
import type {InboundExchanges} from '../request/inbound_exchange.js';
import {createInboundExchanges} from '../request/inbound_exchange.js';
import type {LocalExecution} from '../request/local_execution.js';
import {createLocalExecution} from '../request/local_execution.js';
import type {OutboundExchanges} from '../request/outbound_exchange.js';
import {createOutboundExchanges} from '../request/outbound_exchange.js';
import type {OpenRequests} from '../request/open_requests.js';
import {createOpenRequests} from '../request/open_requests.js';
import {createRetryRules} from '../request/retry_rules.js';
import type {AnnouncementHandling} from './announcement_handling.js';
import {startAnnouncementHandling} from './announcement_handling.js';
import {
  countAttempt,
  logCancelledRun,
  logNotExecuted,
  logNotRun,
  logRetry,
} from './attempt_logging.js';
import type {CrashHandling} from './crash_handling.js';
import {startCrashHandling} from './crash_handling.js';
import type {NodeComponents} from './node_components.js';
import type {QuotaHandling} from './quota_handling.js';
import {startQuotaHandling} from './quota_handling.js';
import {startRelayHandling} from './relay_handling.js';
import {createUpstreamEvents} from './upstream_events.js';

/** Dependencies of the exchanges. */
export interface NodeExchangesOptions {
  readonly settings: () => NodeSettings;
  readonly wireHeaders: WireHeaders;
  readonly components: NodeComponents;
  readonly log: DecisionLog;
  readonly metrics: NodeMetrics;
  readonly stop: StopPlan;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Request handlers of a node. */
export interface NodeExchanges extends Disposable {
  readonly outbound: OutboundExchanges;
  readonly inbound: InboundExchanges;
  /** Requests that entered here and have no response yet. */
  readonly open: OpenRequests;
  /** Relays changes of the published documents between nodes. */
  readonly relay: PeerRelay;
  /** Handles the announcements of the upstream of this host. */
  readonly announcements: AnnouncementHandling;
  /** Handles requests that crash upstreams. */
  readonly crashes: CrashHandling;
  /** Enforces the quotas of organisations. */
  readonly quotas: QuotaHandling;
  /** Load reports in response to another node's query. */
  loads(): readonly LoadFields[];
  /** Queries the loads of services without recent reports. */
  pollLoads(): void;
  /** Requests at the local upstream or waiting for it. */
  readonly executingCount: number;
}

/** Maximum number of loads of other upstreams in one response. */
const MAX_REPORTED_LOADS_COUNT = 6;

/** Creates the request handlers of a node. */
export function createNodeExchanges(
  options: NodeExchangesOptions,
): NodeExchanges {
  const {settings, wireHeaders, components, nowMillis, random} = options;
  const {upstream, queue, level, parents} = components;
  const sender = createUpstreamSender({
    upstream: settings().upstream,
    wireHeaders,
    nowMillis,
    ...createUpstreamEvents(options),
  });
  const startedListener = upstream.onStarted(sender.closeIdleConnections);
  const remote = createRemote(options, {
    onCrashReport: (peer, report) => {
      crashes.gossip.receiveReply(peer, report);
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
  const quotas = startQuotaHandling({...options, ...components});
  const relaying = startRelayHandling({...options, ...components});
  const announcements = startAnnouncementHandling({...options, ...components});
  const execution = createLocalExecution({
    upstream,
    queue,
    level,
    rejections: components.rejections,
    slowness: components.slowness,
    parents,
    crashes: crashes.detector,
    quarantine: crashes.quarantine,
    sender,
    announcements,
    pacer: components.pacer,
    budget: components.budget,
    trees: components.trees,
    ownService: () => settings().service,
    nowMillis,
    startedOrders: createStartedOrdersFor(wireHeaders, nowMillis),
    onRepeated: call => {
      options.metrics.recordRepeatedOrder('upstream');
      options.log.logRequestEvent('order-repeated', {
        requestId: call.attemptId,
        rootId: call.origin.rootId,
        upstream: call.upstreamId,
      });
    },
    onMisdirected: (call, actualId) => {
      options.metrics.recordMisdirected();
      options.log.logRequestEvent('misdirected', {
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
      const result = await execution.execute(call);
      executingCount -= 1;
      components.reportOwnLoad();
      if (result.kind === 'refused') {
        announcements.logRefusal(call, result.reason);
      } else if (result.kind === 'unknown' && isCancelCause(result.reason)) {
        logCancelledRun(options, call, result.reason);
      }
      return result;
    },
  };
  const open = createOpenRequests(options.log, nowMillis);
  const outbound = createOutboundExchanges({
    ...components,
    wireHeaders,
    open,
    startedOrders: createStartedOrdersFor(wireHeaders, nowMillis),
    stop: options.stop,
    unframedBodies: createUnframedBodies(nowMillis),
    ownService: () => settings().service,
    completionThrottle: createCompletionThrottle(nowMillis),
    treeProbes: createCallTreeProbes(nowMillis),
    onProbe: ({attemptId, route, service}, cause) => {
      options.log.logRequestEvent('call-tree-probe', {
        requestId: attemptId,
        route: route.name,
        service,
        requiredService: cause.service,
      });
    },
    entryAdmission: createEntryAdmission(components.loadTable, service =>
      components.directory
        .listReady(service)
        .some(({entry}) => !remote.isLost(entry)),
    ),
    targets: createWeightedTargets(random),
    quotas: quotas.enforcer,
    attempts: createAttemptRunner({
      placement: components.placement,
      rules: createRetryRules({...components, nowMillis}),
      quarantine: crashes.quarantine,
      attemptTimeouts: createAttemptTimeouts(),
      stop: options.stop,
      hostKey: settings().hostKey,
      local,
      remote,
      nowMillis,
      onAttempt: attempt => {
        countAttempt(options.metrics, attempt);
        logNotRun(options.log, attempt);
        announcements.observeAttempt(attempt.result, attempt.entry);
      },
      onRetry: (request, reason) => {
        options.metrics.recordRetry(reason);
        logRetry(options.log, request, reason);
      },
    }),
    responder: createEntryResponder({
      log: options.log,
      metrics: options.metrics,
      notes: wireHeaders.notes,
      stop: options.stop,
      configurationVersion: components.configurationVersion,
      levelOf: components.loadTable.levelOf,
      capacityPerSecondOf: service =>
        components.loadTable.serviceLoadOf(service)?.capacityPerSecond,
      nowMillis,
      random,
    }),
    nowMillis,
  });
  const inbound = createInboundExchanges({
    execution: local,
    peerPositions: components.peerPositions,
    ownLoad: components.reportOwnLoad,
    otherLoads: () => otherLoads(components),
    nowMillis,
    onEnd: (call, result) => {
      logNotExecuted(options.log, components, call, result);
    },
  });
  return {
    outbound,
    inbound,
    open,
    relay: relaying.relay,
    announcements,
    crashes,
    quotas,
    loads: inbound.loads,
    pollLoads: () => {
      for (const service of components.loadPoller.dueServices()) {
        const entry = choosePolledNode(options, remote, service);
        if (entry !== undefined) remote.queryLoads(entry);
      }
    },
    get executingCount() {
      return executingCount;
    },
    dispose: () => {
      startedListener.dispose();
      announcements.dispose();
      crashes.dispose();
      quotas.dispose();
      relaying.dispose();
      sender.dispose();
      remote.dispose();
    },
  };
}

/** Ids identify requests only where each attempt of a client has its own. */
function createStartedOrdersFor(
  {isAttemptIdRequired}: WireHeaders,
  nowMillis: () => number,
): StartedOrders {
  return isAttemptIdRequired
    ? createStartedOrders(nowMillis)
    : NO_STARTED_ORDERS;
}

/** Any reachable node of the service: its reports include the other upstreams. */
function choosePolledNode(
  {components, settings, random}: NodeExchangesOptions,
  remote: RemoteExecution,
  service: string,
): UpstreamEntry | undefined {
  const entries = components.directory
    .listReady(service)
    .map(upstream => upstream.entry)
    .filter(entry => entry.hostKey !== settings().hostKey)
    .filter(entry => !remote.isLost(entry));
  return entries[Math.floor(random() * entries.length)];
}

/** Endpoints of all other nodes. */
function otherNodes({
  components,
  settings,
}: NodeExchangesOptions): readonly Endpoint[] {
  return [...components.directory.hosts()]
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
    loadTable: options.components.loadTable,
    peerPositions: options.components.peerPositions,
    nowMillis: options.nowMillis,
    onPeerLost: (peer, hopsCount) => {
      options.log.logRequestEvent('peer-lost', {peer: peer.address, hopsCount});
    },
    onPeerFound: peer => {
      options.log.logRequestEvent('peer-found', {peer: peer.address});
      onPeerFound(peer);
    },
    onCrashReport,
    onResent: (entry, call) => {
      options.log.logRequestEvent('request-resent', {
        requestId: call.attemptId,
        upstream: entry.id,
        host: entry.hostKey,
      });
    },
    onConnectionReplaced: (peer, hopsCount) => {
      options.log.logRequestEvent('connection-replaced', {
        peer: peer.address,
        hopsCount,
      });
    },
  });
}

/** Latest reports of other upstreams that shed requests. */
function otherLoads(components: NodeComponents): readonly LoadReport[] {
  const own = components.reportOwnLoad();
  return components.loadTable
    .shedding()
    .filter(report => report.upstreamId !== own?.upstreamId)
    .slice(0, MAX_REPORTED_LOADS_COUNT);
}
