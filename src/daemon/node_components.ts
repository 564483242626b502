/**
 * Creates the stateful components of a node: configuration, upstream directory, load data
 * and the decisions based on them.
 */
import {describeError} from '../base/errors.js';
import type {AdmissionLevel} from '../process/admission/admission_level.js';
import {createAdmissionLevel} from '../process/admission/admission_level.js';
import type {AnnouncedLimit} from '../process/admission/announced_limit.js';
import {createAnnouncedLimit} from '../process/admission/announced_limit.js';
import type {CallTrees} from '../process/admission/call_trees.js';
import {createCallTrees} from '../process/admission/call_trees.js';
import type {DispatchPacer} from '../process/admission/dispatch_pacer.js';
import {createDispatchPacer} from '../process/admission/dispatch_pacer.js';
import type {ConfigurationHolder} from '../process/membership/configuration_holder.js';
import {createConfigurationHolder} from '../process/membership/configuration_holder.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import type {InFlightParents} from '../process/retries/in_flight_parents.js';
import {createInFlightParents} from '../process/retries/in_flight_parents.js';
import type {LoadTable, LoadReport} from '../process/admission/load_table.js';
import {createLoadTable} from '../process/admission/load_table.js';
import type {LoadPoller} from '../process/admission/load_poller.js';
import {createLoadPoller} from '../process/admission/load_poller.js';
import type {
  NodeSettings,
  RetryBound,
} from '../process/settings/node_settings.js';
import type {PlacementChooser} from '../process/placement/placement.js';
import {createPlacementChooser} from '../process/placement/placement.js';
import type {RejectionRate} from '../process/admission/rejection_rate.js';
import {
  createRejectionRate,
  isRejecting,
} from '../process/admission/rejection_rate.js';
import type {RelativeSlowness} from '../process/placement/relative_slowness.js';
import {createRelativeSlowness} from '../process/placement/relative_slowness.js';
import type {RetryBudget} from '../process/retries/retry_budget.js';
import {createRetryBudget} from '../process/retries/retry_budget.js';
import type {DirectoryChange} from '../process/membership/directory_change.js';
import type {UpstreamDirectory} from '../process/membership/upstream_directory.js';
import {createUpstreamDirectory} from '../process/membership/upstream_directory.js';
import type {PeerPositions} from '../process/membership/peer_positions.js';
import {createPeerPositions} from '../process/membership/peer_positions.js';
import type {UpstreamStart} from '../process/membership/upstream_start.js';
import {isSameStart} from '../process/membership/upstream_start.js';
import type {UpstreamQueue} from '../process/admission/upstream_queue.js';
import {createUpstreamQueue} from '../process/admission/upstream_queue.js';
import type {RejectionFields} from '../protocol/hop_messages.js';
import type {LocalUpstream} from '../request/local_upstream.js';
import {createLocalUpstream} from '../request/local_upstream.js';

/** Dependencies of the components. */
export interface NodeComponentsOptions {
  /** Current settings. */
  readonly settings: () => NodeSettings;
  /** Reads the settings file; throws if it is unreadable or invalid. */
  readonly readSettings: () => NodeSettings;
  readonly log: DecisionLog;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Stateful components of a node. */
export interface NodeComponents {
  readonly configuration: ConfigurationHolder;
  readonly directory: UpstreamDirectory;
  readonly peerPositions: PeerPositions;
  readonly upstream: LocalUpstream;
  readonly queue: UpstreamQueue;
  /** Limit that the upstream of this host announces. */
  readonly announcedLimit: AnnouncedLimit;
  readonly pacer: DispatchPacer;
  readonly level: AdmissionLevel;
  readonly loadTable: LoadTable;
  readonly loadPoller: LoadPoller;
  readonly parents: InFlightParents;
  readonly trees: CallTrees;
  readonly budget: RetryBudget;
  /** Rejection rate of the upstream of this host. */
  readonly rejections: RejectionRate;
  readonly slowness: RelativeSlowness;
  readonly placement: PlacementChooser;
  /** Returns the current load of the local upstream and stores it in the load table. */
  reportOwnLoad(): LoadReport | undefined;
  /** Current configuration version; 0 before the first. */
  configurationVersion(): number;
}

/** Creates the components of a node, without any configuration or upstreams. */
export function createNodeComponents(
  options: NodeComponentsOptions,
): NodeComponents {
  const {settings, nowMillis, random} = options;
  const {hostKey, zone, region} = settings();
  const configuration = createConfigurationHolder();
  const announcedLimit = createAnnouncedLimit(nowMillis);
  const pacer = createDispatchPacer({
    limitPerSecond: () => announcedLimit.perSecond,
    nowMillis,
  });
  const queue = createUpstreamQueue(nowMillis, {
    pacer,
    schedule: (delayMillis, callback) => {
      setTimeout(callback, delayMillis).unref();
    },
  });
  const level = createAdmissionLevel();
  const loadTable = createLoadTable(nowMillis);
  let ownStart: UpstreamStart | undefined;
  const directory = createUpstreamDirectory({
    nowMillis,
    heartbeatMillis: settings().heartbeatMillis,
    isServiceConfigured: service =>
      configuration.current()?.hasService(service) ?? true,
    onChange: change => {
      logChange(options.log, change);
      if (change.kind === 'restarted') {
        loadTable.discardReports(change.entry.id);
      }
      const isOwn = directory.findByHost(hostKey)?.entry === change.entry;
      if (change.kind === 'joined' && isOwn) upstream.markReached();
    },
    onIndexed: () => {
      const own = directory.findByHost(hostKey)?.entry;
      if (own === undefined) return;
      queue.setSlots(own.slotsCount);
      // An entry that expired and reappeared belongs to the same start.
      if (ownStart !== undefined && isSameStart(own, ownStart)) return;
      ownStart = own;
      upstream.markStarted();
    },
  });
  const upstream = createLocalUpstream({
    directory,
    readOwnService: () => readOwnService(options),
    addressReuseMillis: settings().addressReuseMillis,
    onIdRejected: rejection => {
      options.log.logStateEvent('own-upstream-id-rejected', {
        upstream: rejection.upstreamId,
        actualUpstream: rejection.actualId,
        service: rejection.service,
        actualService: rejection.actualService,
        isReplaced: rejection.isReplaced,
      });
    },
    nowMillis,
    onChange: isReachable => {
      options.log.logStateEvent(
        isReachable ? 'own-upstream-reached' : 'own-upstream-lost',
      );
    },
  });
  let ownLoad: LoadReport | undefined;
  const rejections = createRejectionRate(nowMillis);
  const slowness = createRelativeSlowness();
  /** If one upstream of a service rejects requests, all of them report their rejection rate. */
  const rejectionsOf = (service: string): RejectionFields | undefined => {
    const own = rejections.current();
    const serviceLoad = loadTable.serviceLoadOf(service);
    return isRejecting(own) || serviceLoad?.isRejecting ? own : undefined;
  };
  return {
    configuration,
    directory,
    peerPositions: createPeerPositions(),
    upstream,
    queue,
    announcedLimit,
    pacer,
    level,
    loadTable,
    loadPoller: createLoadPoller({
      loadTable,
      ownUpstreamId: () => directory.findByHost(hostKey)?.entry.id,
      nowMillis,
    }),
    parents: createInFlightParents(),
    trees: createCallTrees(),
    budget: createRetryBudget({
      bound: () => retryBoundOf(configuration, settings(), directory.count()),
      nowMillis,
      nodesCount: directory.count,
    }),
    rejections,
    slowness,
    placement: createPlacementChooser({
      directory,
      loadTable,
      hostKey,
      zone,
      region,
      nowMillis,
      random,
    }),
    reportOwnLoad: () => {
      const madeAtMillis = nowMillis();
      // Called several times per request; one report per event loop turn is enough.
      if (ownLoad?.madeAtMillis === madeAtMillis) return ownLoad;
      const known = directory.findByHost(hostKey);
      if (known === undefined) return undefined;
      const load = queue.load();
      const report: LoadReport = {
        inFlightCount: load.inFlightCount,
        queuedCount: load.queuedCount,
        averageMillis: load.averageMillis,
        upstreamId: known.entry.id,
        service: known.entry.service,
        limitCount: upstream.isReachable ? load.limitCount : 0,
        level: level.level(),
        madeAtMillis,
        slownessRatio: slowness.ratio(),
        rejections: rejectionsOf(known.entry.service),
      };
      ownLoad = report;
      loadTable.observe(report);
      return report;
    },
    configurationVersion: () => configuration.current()?.version ?? 0,
  };
}

/** Service of the upstream of this host, from the settings file as it is now. */
function readOwnService({
  readSettings,
  log,
}: NodeComponentsOptions): string | undefined {
  try {
    return readSettings().service;
  } catch (error) {
    log.logStateEvent('settings-refused', {
      cause: 'id-rejected',
      message: describeError(error),
    });
    return undefined;
  }
}

/** Window of a retry budget from the configuration. */
const BUDGET_WINDOW_MILLIS = 10_000;
const MILLIS_PER_SECOND = 1000;

/** The configuration's budget is per node, the bound in the settings is fleet-wide. */
function retryBoundOf(
  configuration: ConfigurationHolder,
  settings: NodeSettings,
  nodesCount: number,
): RetryBound {
  const budget = configuration.current()?.retryBudget;
  if (budget === undefined) return settings.repeatBound;
  const windowSeconds = BUDGET_WINDOW_MILLIS / MILLIS_PER_SECOND;
  return {
    ratio: budget.ratio,
    windowMillis: BUDGET_WINDOW_MILLIS,
    slackCount: budget.minimumPerSecond * windowSeconds * nodesCount,
  };
}

function logChange(log: DecisionLog, {kind, entry}: DirectoryChange): void {
  log.logStateEvent(`upstream-${kind}`, {
    upstream: entry.id,
    bornMillis: entry.bornMillis,
    service: entry.service,
    host: entry.hostKey,
    zone: entry.zone,
    slotsCount: entry.slotsCount,
  });
}
