/**
 * Enforces the quotas of organisations over the whole fleet: requests that
 * enter at this node are counted and reported to the coordinator of each
 * organisation, which responds with the share of the requests to admit.
 *
 * While a coordinator does not respond, its last allowance stays in force.
 * Another one is chosen only once it is known whether the node has exited or a
 * zone is partitioned: otherwise the coordinators of both parts of a fleet
 * would each allow the whole quota.
 */
import type {Organisation} from '../../version/organisation.js';
import type {
  QuotaAllowance,
  QuotaReport,
  QuotaUsage,
} from '../../protocol/quota_messages.js';
import type {CoordinatorChooser} from './coordinator_chooser.js';
import type {QuotaCoordinator} from './quota_coordinator.js';
import type {
  CachedAllowance,
  DefiniteQuotaCheckResult,
  QuotaLimiter,
} from './quota_limiter.js';
import type {ZonedHost, ZoneReachability} from './zone_reachability.js';

/** Quota enforcement of one node. */
export interface QuotaEnforcer {
  /**
   * Decides whether to admit a request. Waits for the coordinator only if no
   * recent allowance is known and a wrong decision at each node could exceed the
   * tolerated excess.
   */
  decide(
    organisation: Organisation,
    rank: number,
  ): QuotaDecision | Promise<QuotaDecision>;
  /**
   * Records that a request is passed on; it runs unless `recordNotRun` is
   * called.
   */
  recordRan(organisation: Organisation): void;
  /** Records that a request was passed on and has not run. */
  recordNotRun(organisation: Organisation): void;
  /** Handles a report of another node and returns the allowances. */
  receive(report: QuotaReport): readonly QuotaAllowance[];
  /**
   * Reports changed counts, and probes zones without messages; called at
   * intervals.
   */
  tick(): void;
}

/** Whether a request is within the quota of its organisation. */
export type QuotaDecision =
  | {readonly kind: 'admitted'}
  | {
      readonly kind: 'over-quota';
      readonly allowance: CachedAllowance;
      /** Host of the organisation's coordinator. */
      readonly coordinator: string | undefined;
    };

/** Result of sending a report. */
export type ReportResult =
  | {
      readonly kind: 'answered';
      readonly allowances: readonly QuotaAllowance[];
    }
  /** There was no response; the node may be partitioned. */
  | {readonly kind: 'silent'}
  /** Its host refused or closed the connection, so it is not partitioned. */
  | {readonly kind: 'closed'};

/** Dependencies of a quota enforcer. */
export interface QuotaEnforcerOptions<T extends ZonedHost> {
  /** Identifies this start of the process. */
  readonly reporterId: string;
  readonly ownHostKey: string;
  readonly zone: string;
  readonly limiter: QuotaLimiter;
  readonly coordinator: QuotaCoordinator;
  readonly coordinatorChooser: CoordinatorChooser<T>;
  readonly reachability: ZoneReachability;
  readonly send: (host: T, report: QuotaReport) => Promise<ReportResult>;
  /**
   * Resolves when a request has waited too long for a response of the
   * coordinator.
   */
  readonly waitTimeout: () => Promise<void>;
}

/** Interval between reports. */
export const REPORT_INTERVAL_MILLIS = 200;

/** Maximum time that a request waits for a response of the coordinator. */
export const MAX_WAIT_MILLIS = 50;

/** Retries of a report before its node counts as unavailable. */
const RETRIES_COUNT = 2;

/**
 * Time without messages from a zone after which a coordinator probes nodes
 * there.
 */
const PROBE_MILLIS = 400;

const ADMITTED: QuotaDecision = {kind: 'admitted'};

/** Creates the quota enforcement of one node. */
export function createQuotaEnforcer<T extends ZonedHost>(
  options: QuotaEnforcerOptions<T>,
): QuotaEnforcer {
  const {limiter, coordinator, coordinatorChooser, reachability, ownHostKey} =
    options;
  const pendingRequests = new Map<string, Promise<void>>();
  const reportingKeys = new Set<string>();
  const probingZones = new Set<string>();
  let sequence = 0;

  const reportOf = (uses: readonly QuotaUsage[]): QuotaReport => {
    sequence += 1;
    const {reporterId, zone} = options;
    return {reporterId, zone, sequence, uses};
  };

  const send = async (host: T, report: QuotaReport): Promise<ReportResult> => {
    const result = await options.send(host, report);
    if (result.kind === 'answered') reachability.recordReceived(host.zone);
    return result;
  };

  const recordFailure = (host: T, result: ReportResult): void => {
    if (result.kind === 'silent') reachability.recordTimeout(host);
    if (result.kind === 'closed') reachability.recordClosed(host);
  };

  const probe = async (host: T): Promise<void> => {
    recordFailure(host, await send(host, reportOf([])));
  };

  /**
   * Sends a report again and probes other nodes of the zone, to detect whether
   * it is partitioned.
   */
  const retryWithProbes = async (
    host: T,
    report: QuotaReport,
  ): Promise<ReportResult> => {
    const [result] = await Promise.all([
      send(host, report),
      ...coordinatorChooser.probeTargets(host.zone, host.hostKey).map(probe),
    ]);
    return result;
  };

  const report = async (
    host: T | undefined,
    uses: readonly QuotaUsage[],
  ): Promise<void> => {
    const sent = reportOf(uses);
    if (host === undefined || host.hostKey === ownHostKey) {
      limiter.confirm(uses, coordinator.receive(sent));
      return;
    }
    let result = await send(host, sent);
    for (let retry = 0; retry < RETRIES_COUNT; retry += 1) {
      if (
        result.kind === 'answered' ||
        coordinatorChooser.isUnavailable(host)
      ) {
        break;
      }
      result = await retryWithProbes(host, sent);
    }
    recordFailure(host, result);
    if (result.kind === 'answered') limiter.confirm(uses, result.allowances);
    else limiter.recordUnanswered(uses);
  };

  /**
   * Reports the usage of an organisation to its coordinator. Requests that wait
   * for the same allowance share the report.
   */
  const requestAllowance = (
    organisation: Organisation,
  ): Promise<void> | undefined => {
    const {name, quota} = organisation;
    const pending = pendingRequests.get(name);
    if (pending !== undefined || quota === undefined) return pending;
    const uses = [limiter.takeUsage(name, quota)];
    const request = report(coordinatorChooser.choose(name), uses).finally(
      () => {
        pendingRequests.delete(name);
      },
    );
    pendingRequests.set(name, request);
    return request;
  };

  const decisionOf = (
    {name}: Organisation,
    result: DefiniteQuotaCheckResult,
  ): QuotaDecision => {
    if (result.kind === 'admitted') return ADMITTED;
    return {...result, coordinator: coordinatorChooser.choose(name)?.hostKey};
  };

  const decideAfterRequest = async (
    organisation: Organisation,
    rank: number,
  ): Promise<QuotaDecision> => {
    await Promise.race([requestAllowance(organisation), options.waitTimeout()]);
    const result = limiter.check(organisation, rank);
    if (result.kind !== 'unknown') return decisionOf(organisation, result);
    return decisionOf(
      organisation,
      limiter.checkWithoutCoordinator(organisation, rank),
    );
  };

  const reportTo = async (
    host: T | undefined,
    uses: readonly QuotaUsage[],
  ): Promise<void> => {
    const key = host?.hostKey ?? ownHostKey;
    reportingKeys.add(key);
    await report(host, uses);
    reportingKeys.delete(key);
  };

  const probeZone = async (zone: string): Promise<void> => {
    probingZones.add(zone);
    await Promise.all(coordinatorChooser.probeTargets(zone).map(probe));
    probingZones.delete(zone);
  };

  /**
   * Probes zones without messages, which may be partitioned or have nothing to
   * report.
   */
  const probeSilentZones = (): void => {
    for (const zone of coordinatorChooser.zones()) {
      const isProbeNeeded =
        reachability.isPartitioned(zone) || coordinator.isActive();
      if (!isProbeNeeded || probingZones.has(zone)) continue;
      if (reachability.sinceReceivedMillis(zone) >= PROBE_MILLIS) {
        void probeZone(zone);
      }
    }
  };

  const reportUsages = (): void => {
    const groups = new Map<string, {host: T | undefined; uses: QuotaUsage[]}>();
    // At most one report at a time is sent to each coordinator.
    const uses = limiter.takeDueUsages(
      name =>
        !reportingKeys.has(
          coordinatorChooser.choose(name)?.hostKey ?? ownHostKey,
        ),
    );
    for (const use of uses) {
      const host = coordinatorChooser.choose(use.organisation);
      const key = host?.hostKey ?? ownHostKey;
      const group = groups.get(key) ?? {host, uses: []};
      group.uses.push(use);
      groups.set(key, group);
    }
    for (const {host, uses: grouped} of groups.values()) {
      void reportTo(host, grouped);
    }
  };

  return {
    decide: (organisation, rank) => {
      const result = limiter.check(organisation, rank);
      if (result.kind === 'unknown') {
        return decideAfterRequest(organisation, rank);
      }
      return decisionOf(organisation, result);
    },
    recordRan: limiter.recordRan,
    recordNotRun: limiter.recordNotRun,
    receive: received => {
      reachability.recordReceived(received.zone);
      return coordinator.receive(received);
    },
    tick: () => {
      reportUsages();
      probeSilentZones();
    },
  };
}
