/**
 * Wiring of one node: listeners, what it follows, and its decisions.
 */
import {createDisposableStore, createIntervalTimer} from '../base/lifecycle.js';
import {toDisposable} from '../base/lifecycle.js';
import type {NodeListener} from '../connection/node_listener.js';
import {openNodeListener} from '../connection/node_listener.js';
import {createRemoteExecution} from '../connection/remote_execution.js';
import {createUpstreamSender} from '../connection/upstream_sender.js';
import {
  createAdmissionLevel,
  LEVEL_WINDOW_MILLIS,
} from '../process/admission_level.js';
import {createCallTrees} from '../process/call_trees.js';
import {createConfigurationHolder} from '../process/configuration_holder.js';
import type {DecisionLog} from '../process/decision_log.js';
import {createEntryGate} from '../process/entry_gate.js';
import {createHopRegistry} from '../process/hop_registry.js';
import {createInFlightParents} from '../process/in_flight_parents.js';
import type {LoadReport} from '../process/load_board.js';
import {createLoadBoard} from '../process/load_board.js';
import type {NodeMetrics} from '../process/node_metrics.js';
import type {NodeSettings} from '../process/node_settings.js';
import {createPlacementChooser} from '../process/placement.js';
import type {PublishedDocuments} from '../process/published_documents.js';
import {createRepeatBudget} from '../process/repeat_budget.js';
import {createUpstreamDirectory} from '../process/upstream_directory.js';
import {createUpstreamQueue} from '../process/upstream_queue.js';
import {createWeightedTargets} from '../process/weighted_targets.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import {createAttempts} from '../request/attempts.js';
import {createEntryAnswers} from '../request/entry_answers.js';
import {createInboundExchanges} from '../request/inbound_exchange.js';
import type {LocalExecution} from '../request/local_execution.js';
import {createLocalExecution} from '../request/local_execution.js';
import {createLocalUpstream} from '../request/local_upstream.js';
import {createOutboundExchanges} from '../request/outbound_exchange.js';
import {startDocumentFeeds} from './document_feeds.js';

/** What a node is made of. */
export interface ServiceNodeOptions {
  readonly settings: NodeSettings;
  readonly names: WireHeaders;
  readonly documents: PublishedDocuments;
  readonly log: DecisionLog;
  readonly metrics: NodeMetrics;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** A running node. */
export interface ServiceNode {
  /** It can serve, and does not stop. */
  isReady(): boolean;
  /** Finishes what it holds and ends, within the grace period. */
  stop(): Promise<void>;
  /** Ends at once, whatever it holds. */
  dispose(): void;
  /** State for operators. */
  dump(): object;
}

/** Loads of other upstreams that one answer reports at most. */
const REPORTED_LOADS_COUNT = 6;

/** Interval of the line that sums up the state of the node. */
const STATUS_MILLIS = 5000;

/** Upkeep of records of upstreams that left. */
const UPKEEP_MILLIS = 500;

/** Time that clients take to learn that this host is not ready any more. */
const NOTICE_MILLIS = 2300;

/** Last part of the grace period that is left for the process to end. */
const END_MARGIN_MILLIS = 250;
const STOP_CHECK_MILLIS = 25;

/** Starts a node; rejects if it cannot listen. */
export async function startServiceNode(
  options: ServiceNodeOptions,
): Promise<ServiceNode> {
  const {settings, names, documents, log, metrics, nowMillis, random} = options;
  const store = createDisposableStore();
  const configuration = createConfigurationHolder();
  const queue = createUpstreamQueue(nowMillis);
  const level = createAdmissionLevel();
  const board = createLoadBoard(nowMillis);
  const parents = createInFlightParents();
  const trees = createCallTrees();
  const ownAddress = `${settings.upstream.address}:${String(settings.upstream.port)}`;
  let isStopping = false;
  let executingCount = 0;

  const directory = createUpstreamDirectory({
    nowMillis,
    onChange: change => {
      const {entry} = change;
      log.state(`upstream-${change.kind}`, {
        upstream: entry.id,
        service: entry.service,
        address: entry.listenAddress,
        zone: entry.zone,
        slotsCount: entry.slotsCount,
      });
      if (entry.listenAddress !== ownAddress) return;
      queue.setSlots(entry.slotsCount);
      if (change.kind === 'joined') upstream.markReached();
    },
  });
  const upstream = createLocalUpstream({
    directory,
    nowMillis,
    onChange: isReachable => {
      log.state(isReachable ? 'own-upstream-reached' : 'own-upstream-lost');
    },
  });
  const sender = createUpstreamSender(settings.upstream, names);
  const remote = createRemoteExecution({
    inboundPort: settings.inbound.port,
    names,
    board,
    nowMillis,
    onPeerLost: (peer, hopsCount) => {
      log.request('peer-lost', {peer, hopsCount});
    },
    onHopLost: (peer, state) => {
      log.request('connection-silent', {peer, state});
    },
  });
  store.add(toDisposable(sender.dispose));
  store.add(toDisposable(remote.dispose));

  const ownReport = (): LoadReport | undefined => {
    const own = directory.atAddress(ownAddress);
    if (own === undefined) return undefined;
    const load = queue.load();
    const report: LoadReport = {
      upstreamId: own.entry.id,
      service: own.entry.service,
      inFlightCount: load.inFlightCount,
      queuedCount: load.queuedCount,
      limitCount: upstream.isReachable ? load.limitCount : 0,
      averageMillis: load.averageMillis,
      level: level.level(),
      madeAtMillis: nowMillis(),
    };
    board.observe(report);
    return report;
  };

  const execution = createLocalExecution({
    upstream,
    queue,
    level,
    parents,
    sender,
    nowMillis,
  });
  const counted: LocalExecution = {
    execute: async call => {
      executingCount += 1;
      const end = await execution.execute(call);
      executingCount -= 1;
      ownReport();
      return end;
    },
  };
  const budget = createRepeatBudget({
    bound: settings.repeatBound,
    nowMillis,
    nodesCount: directory.count,
  });
  const placement = createPlacementChooser({
    directory,
    board,
    hostAddress: settings.hostAddress,
    zone: settings.zone,
    regionOfZone: settings.regionOfZone,
    nowMillis,
    random,
  });
  const configurationVersion = (): number =>
    configuration.current()?.configuration.version ?? 0;
  const answers = createEntryAnswers({
    log,
    metrics,
    isDraining: () => isStopping,
    configurationVersion,
    takingRatio: board.takingRatio,
    nowMillis,
    random,
  });
  const attempts = createAttempts({
    hostAddress: settings.hostAddress,
    placement,
    local: counted,
    remote,
    budget,
    trees,
    nowMillis,
    onAttempt: (_request, _upstreamId, end) => {
      if (end.kind === 'refused') metrics.recordRefusal(end.reason);
      else if (end.kind === 'unknown') metrics.recordUnknown(end.reason);
    },
    onRetry: (request, reason) => {
      metrics.recordRetry(reason);
      log.request('retry', {
        requestId: request.call.attemptId,
        route: request.route.name,
        service: request.service,
        reason,
      });
    },
  });
  const outbound = createOutboundExchanges({
    names,
    ownService: () => settings.service,
    configuration,
    gate: createEntryGate(board),
    targets: createWeightedTargets(random),
    trees,
    budget,
    parents,
    attempts,
    answers,
    nowMillis,
    random,
  });
  const inbound = createInboundExchanges({
    names,
    execution: counted,
    hops: createHopRegistry(),
    loads: () => {
      const own = ownReport();
      const others = board
        .shedding()
        .filter(report => report.upstreamId !== own?.upstreamId)
        .slice(0, REPORTED_LOADS_COUNT);
      return own === undefined ? others : [own, ...others];
    },
    bodyBytes: () =>
      configuration.current()?.configuration.limits.bodyBytes ?? Infinity,
    nowMillis,
    onEnd: (call, end) => {
      if (end.kind === 'answered') return;
      log.request('not-executed', {
        requestId: call.attemptId,
        rootId: call.origin.rootId,
        outcome: end.kind,
        reason: end.reason,
        queuedCount: queue.load().queuedCount,
        level: level.level(),
      });
    },
  });

  const outboundListener = await openNodeListener({
    endpoint: settings.outbound,
    handle: outbound.handle,
  });
  const inboundListener = await openNodeListener({
    endpoint: settings.inbound,
    handle: inbound.handle,
  });

  const feeds = startDocumentFeeds({
    documents,
    configuration,
    directory,
    log,
    metrics,
    nowMillis,
    random,
    onLimits: limits => {
      outboundListener.setLimits(limits.idleMillis, limits.headerMillis);
    },
  });
  store.add(feeds);

  store.add(
    createIntervalTimer(LEVEL_WINDOW_MILLIS, () => {
      const before = level.level();
      level.update({
        ...queue.load(),
        windowMillis: LEVEL_WINDOW_MILLIS,
        serviceAverageMillis: board.averageMillisOf(settings.service),
      });
      const after = level.level();
      metrics.setGauge('admission_level', after);
      if (before === after) return;
      log.request('level-changed', {before, after, ...queue.load()});
    }),
  );
  store.add(
    createIntervalTimer(UPKEEP_MILLIS, () => {
      directory.expire();
      placement.expire();
      board.expire();
      metrics.setGauge('queue_length', queue.load().queuedCount);
      metrics.setGauge('in_flight', queue.load().inFlightCount);
      metrics.setGauge('known_upstreams', directory.count());
      metrics.setGauge('configuration_version', configurationVersion());
    }),
  );

  const busyCount = (): number =>
    outboundListener.busyCount + inboundListener.busyCount + executingCount;

  store.add(
    createIntervalTimer(STATUS_MILLIS, () => {
      log.state('status', {
        ...queue.load(),
        level: level.level(),
        busyCount: busyCount(),
        executingCount,
        upstreamsCount: directory.count(),
        configurationVersion: configurationVersion(),
      });
    }),
  );

  return {
    isReady: () =>
      !isStopping &&
      feeds.hasUpstreams &&
      configuration.current() !== undefined,
    stop: async () => {
      isStopping = true;
      upstream.startDraining();
      const startedMillis = nowMillis();
      const lastMillis =
        startedMillis + settings.graceMillis - END_MARGIN_MILLIS;
      await untilIdle(busyCount, startedMillis + NOTICE_MILLIS, lastMillis);
      closeAll([outboundListener, inboundListener]);
      store.dispose();
    },
    dispose: () => {
      closeAll([outboundListener, inboundListener]);
      store.dispose();
      documents.source.dispose();
    },
    dump: () => ({
      node: settings.nodeName,
      service: settings.service,
      isReady: !isStopping && feeds.hasUpstreams,
      configurationVersion: configurationVersion(),
      upstreamsCount: directory.count(),
      queue: queue.load(),
      level: level.level(),
      shedding: board.shedding(),
      busyCount: busyCount(),
    }),
  };

  async function untilIdle(
    count: () => number,
    earliestMillis: number,
    latestMillis: number,
  ): Promise<void> {
    for (;;) {
      const now = nowMillis();
      if (now >= latestMillis) return;
      if (now >= earliestMillis && count() === 0) return;
      await new Promise(resolve => setTimeout(resolve, STOP_CHECK_MILLIS));
    }
  }
}

function closeAll(listeners: readonly NodeListener[]): void {
  for (const listener of listeners) listener.close();
}
