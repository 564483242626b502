/**
 * Creates and connects the parts of a node: listeners, document feeds and components.
 */
import {randomUUID} from 'node:crypto';
import {createDisposableStore} from '../base/lifecycle.js';
import type {PublishedConfiguration} from '../connection/operator_listener.js';
import type {HopListener} from '../connection/hop_listener.js';
import {openHopListener} from '../connection/hop_listener.js';
import type {HttpListener} from '../connection/http_listener.js';
import {openHttpListener} from '../connection/http_listener.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import type {NodeMetrics} from '../process/log/node_metrics.js';
import {formatEndpoint} from '../process/settings/format_endpoint.js';
import type {DocumentFreshness} from '../process/membership/document_freshness.js';
import type {NodeSettings} from '../process/settings/node_settings.js';
import type {PublishedDocuments} from '../process/membership/published_documents.js';
import {createStopPlan} from '../process/stop/stop_plan.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import {startDocumentFeeds} from './document_feeds.js';
import {createNodeComponents} from './node_components.js';
import {createNodeExchanges} from './node_exchanges.js';
import {startNodeMaintenance} from './node_maintenance.js';
import {runStopSequence} from './stop_sequence.js';

/** Maximum number of crash suspects in the state, those with most crashes first. */
const MAX_REPORTED_SUSPECTS_COUNT = 100;

/** Dependencies of a node. */
export interface ServiceNodeOptions {
  readonly settings: NodeSettings;
  /** Reads the settings file; throws if it is unreadable or invalid. */
  readonly readSettings: () => NodeSettings;
  readonly wireHeaders: WireHeaders;
  readonly documents: PublishedDocuments;
  readonly log: DecisionLog;
  readonly metrics: NodeMetrics;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** A running node. */
export interface ServiceNode {
  /** Ports of its listeners. */
  readonly ports: NodePorts;
  /** What the node waits for before it is ready; empty if it is ready. */
  waitingFor(): readonly string[];
  /** Finishes open requests and stops, within the grace period. */
  stop(): Promise<void>;
  /** Stops at once, without finishing open requests. */
  dispose(): void;
  /**
   * Applies changed settings, except addresses, which need a restart; returns
   * `needs-restart` if any of them has changed.
   */
  applySettings(next: NodeSettings): 'applied' | 'needs-restart';
  /** State for operators, by section. */
  state(): Readonly<Record<string, unknown>>;
  /** The current configuration. */
  configuration(): PublishedConfiguration | undefined;
}

/** Ports of a node's listeners. */
export interface NodePorts {
  readonly outboundPort: number;
  readonly localPort: number | undefined;
  readonly inboundPort: number;
}

/** Starts a node; rejects if a listener cannot be opened. */
export async function startServiceNode(
  options: ServiceNodeOptions,
): Promise<ServiceNode> {
  const {settings, wireHeaders, documents, log, metrics, nowMillis, random} =
    options;
  const store = createDisposableStore();
  let current = settings;
  const stop = createStopPlan(nowMillis);
  const components = createNodeComponents({
    settings: () => current,
    readSettings: options.readSettings,
    log,
    nowMillis,
    random,
  });
  const {configuration, directory, queue, level, loadTable} = components;
  const exchanges = createNodeExchanges({
    settings: () => current,
    wireHeaders,
    components,
    log,
    metrics,
    stop,
    nowMillis,
    random,
  });
  store.add(exchanges);
  const outbound = await openHttpListener({
    endpoint: settings.outbound,
    handle: exchanges.outbound.handle,
    nowMillis,
  });
  const local =
    settings.local === undefined
      ? undefined
      : await openHttpListener({
          endpoint: settings.local,
          handle: exchanges.outbound.handleLocal,
          nowMillis,
        });
  const inbound = await openHopListener({
    endpoint: settings.inbound,
    instanceId: randomUUID(),
    bodyBytes: () => configuration.current()?.limits.bodyBytes ?? Infinity,
    handle: exchanges.inbound.handle,
    loads: exchanges.loads,
    acceptRelayQuery: exchanges.relay.acceptQuery,
    receiveCrashReport: exchanges.crashes.gossip.receive,
    answerQuotaReport: exchanges.quotas.answer,
    nowMillis,
    onResumed: ({attemptId, peer, receivedBodyBytes}) => {
      metrics.recordResumed();
      log.logRequestEvent('request-resumed', {
        requestId: attemptId,
        peer,
        receivedBodyBytes,
      });
    },
    onMalformed: peer => {
      log.logRequestEvent('malformed-message', {peer});
    },
  });
  const feeds = startDocumentFeeds({
    documents,
    configuration,
    directory,
    peerPositions: components.peerPositions,
    relay: exchanges.relay,
    log,
    metrics,
    applyWithinMillis: settings.applyWithinMillis,
    nowMillis,
    random,
    onLimits: limits => {
      outbound.setTimeouts(limits.idleMillis, limits.headerMillis);
    },
  });
  store.add(feeds);
  const busyCount = (): number =>
    outbound.busyCount +
    inbound.busyCount +
    (local?.busyCount ?? 0) +
    exchanges.executingCount;
  store.add(
    startNodeMaintenance({
      components,
      service: () => current.service,
      busyCount,
      pollLoads: exchanges.pollLoads,
      documentsAgeMillis: () => exchanges.relay.freshness.ageMillis,
      log,
      metrics,
      nowMillis,
    }),
  );

  const waitingFor = (): readonly string[] => [
    ...(stop.isStopping ? ['stopping'] : []),
    ...(configuration.current() === undefined ? ['configuration'] : []),
    ...(feeds.hasUpstreams ? [] : ['upstreams']),
  ];

  return {
    ports: {
      outboundPort: outbound.port,
      localPort: local?.port,
      inboundPort: inbound.port,
    },
    waitingFor,
    stop: async () => {
      stop.begin(current.graceMillis);
      components.upstream.startDraining();
      await runStopSequence({
        node: {
          busyCount,
          executingCount: () => exchanges.executingCount,
          cancelRequests: () => {
            exchanges.open.logAll('given-up-at-stop');
            exchanges.open.cancelAll();
          },
          closeListeners: () => closeAll([outbound, local, inbound]),
          deliveringUntilMillis: () =>
            Math.max(
              outbound.deliveringUntilMillis,
              local?.deliveringUntilMillis ?? 0,
            ),
        },
        plan: stop,
        nowMillis,
        onStep: step => {
          log.logStateEvent('stop-step', {
            step,
            busyCount: busyCount(),
            openCount: exchanges.open.count,
            executingCount: exchanges.executingCount,
            deliveringCount:
              outbound.deliveringCount + (local?.deliveringCount ?? 0),
          });
        },
      });
      exchanges.open.logAll('unanswered-at-stop');
      outbound.resetUnfinished();
      local?.resetUnfinished();
      store.dispose();
    },
    applySettings: next => {
      const hasNewAddress = addressesOf(next) !== addressesOf(current);
      current = next;
      return hasNewAddress ? 'needs-restart' : 'applied';
    },
    dispose: () => {
      void closeAll([outbound, local, inbound]);
      store.dispose();
      documents.source.dispose();
    },
    state: () => ({
      node: {
        name: settings.nodeName,
        service: current.service,
        availabilityZone: current.zone,
        waitingFor: waitingFor(),
        busyCount: busyCount(),
        residentBytes: process.memoryUsage.rss(),
      },
      admission: {...queue.load(), level: level.level()},
      announcements: exchanges.announcements.state(),
      fleet: {
        configurationVersion: components.configurationVersion(),
        upstreamsCount: directory.count(),
        shedding: loadTable.shedding(),
      },
      documents: documentsState(exchanges.relay.freshness),
      repeats: {budget: components.budget.usage()},
      quotas: exchanges.quotas.state(),
      quarantine: {
        suspects: exchanges.crashes.evidence
          .suspects()
          .slice(0, MAX_REPORTED_SUSPECTS_COUNT),
      },
    }),
    configuration: configuration.current,
  };
}

function documentsState({role, ageMillis}: DocumentFreshness) {
  return {role, ...(Number.isFinite(ageMillis) ? {ageMillis} : {})};
}

async function closeAll(
  listeners: readonly (HttpListener | HopListener | undefined)[],
): Promise<void> {
  await Promise.all(listeners.map(listener => listener?.close()));
}

/** Addresses that listeners and clients are opened with. */
function addressesOf(settings: NodeSettings): string {
  const {outbound, local, inbound, ready, upstream, store} = settings;
  return [outbound, local, inbound, ready, upstream, store]
    .map(at => (at === undefined ? '' : formatEndpoint(at)))
    .join(' ');
}
