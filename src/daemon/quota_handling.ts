/**
 * Creates and connects the components that enforce the quotas of organisations.
 */
import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore, createIntervalTimer} from '../base/lifecycle.js';
import type {PeerQueryResult} from '../connection/peer_query_client.js';
import {createPeerQueryClient} from '../connection/peer_query_client.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import type {ConfigurationHolder} from '../process/membership/configuration_holder.js';
import type {UpstreamDirectory} from '../process/membership/upstream_directory.js';
import type {UpstreamEntry} from '../process/membership/upstream_entry.js';
import {createCoordinatorChooser} from '../process/quota/coordinator_chooser.js';
import {createQuotaCoordinator} from '../process/quota/quota_coordinator.js';
import type {
  QuotaEnforcer,
  ReportResult,
} from '../process/quota/quota_enforcer.js';
import {
  createQuotaEnforcer,
  MAX_WAIT_MILLIS,
  REPORT_INTERVAL_MILLIS,
} from '../process/quota/quota_enforcer.js';
import type {CachedAllowance} from '../process/quota/quota_limiter.js';
import {createQuotaLimiter} from '../process/quota/quota_limiter.js';
import {createZoneReachability} from '../process/quota/zone_reachability.js';
import type {NodeSettings} from '../process/settings/node_settings.js';
import {FRAME_KIND} from '../protocol/hop_frames.js';
import {
  decodeQuotaAllowances,
  decodeQuotaReport,
  encodeQuotaAllowances,
  encodeQuotaReport,
} from '../protocol/quota_codec.js';

/** Dependencies of quota handling. */
export interface QuotaHandlingOptions {
  readonly settings: () => NodeSettings;
  readonly configuration: ConfigurationHolder;
  readonly directory: UpstreamDirectory;
  readonly log: DecisionLog;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Quota components of a node. */
export interface QuotaHandling extends Disposable {
  readonly enforcer: QuotaEnforcer;
  /** Returns the response to another node's report; `undefined` if it is malformed. */
  answer(report: Buffer): Buffer | undefined;
  /** State for operators. */
  state(): QuotaState;
}

/** Quota state as shown to operators. */
export interface QuotaState {
  /** Organisations whose quotas this node coordinates. */
  readonly coordinatedCount: number;
  /** Ratio of the fleet that this node can reach. */
  readonly reachableRatio: number;
  readonly limited: readonly CachedAllowance[];
}

const REPORTER_ID_BYTES = 6;

/** Interval at which expired records are removed. */
const EXPIRE_INTERVAL_MILLIS = 1000;

/** Starts quota handling in a node. */
export function startQuotaHandling(
  options: QuotaHandlingOptions,
): QuotaHandling {
  const {settings, configuration, directory, log, nowMillis, random} = options;
  const store = createDisposableStore();
  const ownHostKey = settings().hostKey;
  const bound = () => settings().quotaBound;
  const peerQueryClient = createPeerQueryClient({
    responseKind: FRAME_KIND.quotas,
    nowMillis,
  });
  store.add(peerQueryClient);
  const reachability = createZoneReachability(nowMillis);
  const coordinatorChooser = createCoordinatorChooser<UpstreamEntry>({
    hosts: () => coordinatorsAmong(directory),
    ownHostKey,
    reachability,
    nowMillis,
    random,
  });
  const coordinator = createQuotaCoordinator({
    quotaOf: name =>
      configuration.current()?.organisations?.findByName(name)?.quota,
    bound,
    isFirstChoice: coordinatorChooser.isFirstChoice,
    reachableRatio: coordinatorChooser.reachableRatio,
    nowMillis,
  });
  const limiter = createQuotaLimiter({
    bound,
    nodesCount: directory.count,
    nowMillis,
    random,
  });
  const enforcer = createQuotaEnforcer<UpstreamEntry>({
    reporterId: randomBytes(REPORTER_ID_BYTES).toString('hex'),
    ownHostKey,
    zone: settings().zone,
    reachability,
    limiter,
    coordinator,
    coordinatorChooser,
    send: async (host, report) => {
      const answer = await peerQueryClient.query(
        host.node,
        encodeQuotaReport(report),
      );
      const result = toReportResult(answer);
      if (result.kind !== 'answered') {
        const {hostKey: coordinatorHost} = host;
        log.logRequestEvent('quota-report-unanswered', {
          coordinatorHost,
          how: result.kind,
        });
      }
      return result;
    },
    waitTimeout: () => sleep(MAX_WAIT_MILLIS),
  });
  store.add(createIntervalTimer(REPORT_INTERVAL_MILLIS, enforcer.tick));
  store.add(
    createIntervalTimer(EXPIRE_INTERVAL_MILLIS, () => {
      limiter.expire();
      coordinator.expire();
      peerQueryClient.closeIdleConnections();
    }),
  );
  return {
    enforcer,
    answer: payload => {
      const report = decodeQuotaReport(payload);
      if (report === undefined) {
        log.logRequestEvent('quota-report-malformed', {});
        return undefined;
      }
      return encodeQuotaAllowances(enforcer.receive(report));
    },
    state: () => ({
      coordinatedCount: coordinator.accountsCount,
      reachableRatio: coordinatorChooser.reachableRatio(),
      limited: limiter.limited(),
    }),
    dispose: store.dispose,
  };
}

/**
 * A response that cannot be decoded, as from a node of an earlier version, counts as
 * `closed`: its zone is not partitioned.
 */
function toReportResult(answer: PeerQueryResult): ReportResult {
  if (typeof answer === 'string') return {kind: answer};
  const allowances = decodeQuotaAllowances(answer);
  return allowances === undefined
    ? {kind: 'closed'}
    : {kind: 'answered', allowances};
}

/** Excludes draining nodes, which exit soon and lose their accounts. */
function coordinatorsAmong(
  directory: UpstreamDirectory,
): readonly UpstreamEntry[] {
  return [...directory.hosts()]
    .map(({entry}) => entry)
    .filter(entry => !entry.isDraining);
}
