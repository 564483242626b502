/**
 * Enforces the quotas of organisations over the whole fleet: requests that enter here
 * are counted and reported to the coordinator of each organisation, which answers
 * with the share of the requests to admit.
 *
 * While a coordinator does not answer, its last allowance stays in force. Another one
 * is chosen only once it is known whether the node has ended or a zone is cut off:
 * otherwise the coordinators of both parts of a fleet would each allow the whole
 * quota.
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

/** The exchange of one node. */
export interface QuotaEnforcer {
  /** Decides about a request; waits only where nothing is known that matters. */
  decide(
    organisation: Organisation,
    rank: number,
  ): QuotaDecision | Promise<QuotaDecision>;
  /** The request is passed on, and runs unless it is taken back. */
  recordRan(organisation: Organisation): void;
  /** The request was passed on and has not run. */
  recordNotRun(organisation: Organisation): void;
  /** Answers a report of another node. */
  receive(report: QuotaReport): readonly QuotaAllowance[];
  /** Reports what has changed; called at intervals. */
  tick(): void;
}

/** Whether a request is within the quota of its organisation. */
export type QuotaDecision =
  | {readonly kind: 'admitted'}
  | {
      readonly kind: 'over-quota';
      readonly allowance: CachedAllowance;
      /** Where the coordinator of the organisation is. */
      readonly coordinator: string | undefined;
    };

/** What came of a report. */
export type ReportResult =
  | {
      readonly kind: 'answered';
      readonly allowances: readonly QuotaAllowance[];
    }
  /** Nothing came; the node may be cut off. */
  | {readonly kind: 'silent'}
  /** Its host refused or closed the connection, so that it is not cut off. */
  | {readonly kind: 'closed'};

/** What an exchange needs. */
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
  /** Resolves when an answer that a request waits for has taken too long. */
  readonly waitTimeout: () => Promise<void>;
}

/** Interval of reports. */
export const REPORT_INTERVAL_MILLIS = 200;

/** Longest wait of a request for an answer of the coordinator. */
export const MAX_WAIT_MILLIS = 50;

/** Reports that are sent again before their node is passed over. */
const RETRIES_COUNT = 2;

/** Silence of a zone after which a coordinator asks nodes there for a sign. */
const PROBE_MILLIS = 400;

const ADMITTED: QuotaDecision = {kind: 'admitted'};

/** Creates the exchange of one node. */
export function createQuotaEnforcer<T extends ZonedHost>(
  options: QuotaEnforcerOptions<T>,
): QuotaEnforcer {
  const {limiter, coordinator, coordinatorChooser, reachability, ownHostKey} =
    options;
  const asking = new Map<string, Promise<void>>();
  const reporting = new Set<string>();
  const probing = new Set<string>();
  let sequence = 0;

  const reportOf = (uses: readonly QuotaUsage[]): QuotaReport => {
    sequence += 1;
    const {reporterId, zone} = options;
    return {reporterId, zone, sequence, uses};
  };

  const send = async (host: T, report: QuotaReport): Promise<ReportResult> => {
    const end = await options.send(host, report);
    if (end.kind === 'answered') reachability.recordReceived(host.zone);
    return end;
  };

  const noteFailed = (host: T, end: ReportResult): void => {
    if (end.kind === 'silent') reachability.recordTimeout(host);
    if (end.kind === 'closed') reachability.recordClosed(host);
  };

  const probe = async (host: T): Promise<void> => {
    noteFailed(host, await send(host, reportOf([])));
  };

  /** Asks once more, and others of its zone whether they can be reached. */
  const sendAgain = async (
    host: T,
    report: QuotaReport,
  ): Promise<ReportResult> => {
    const [end] = await Promise.all([
      send(host, report),
      ...coordinatorChooser.probeTargets(host.zone, host.hostKey).map(probe),
    ]);
    return end;
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
    let end = await send(host, sent);
    for (let retry = 0; retry < RETRIES_COUNT; retry += 1) {
      if (end.kind === 'answered' || coordinatorChooser.isUnavailable(host)) {
        break;
      }
      end = await sendAgain(host, sent);
    }
    noteFailed(host, end);
    if (end.kind === 'answered') limiter.confirm(uses, end.allowances);
    else limiter.recordUnanswered(uses);
  };

  /** Requests that wait for the same answer share the question. */
  const ask = (organisation: Organisation): Promise<void> | undefined => {
    const {name, quota} = organisation;
    const known = asking.get(name);
    if (known !== undefined || quota === undefined) return known;
    const uses = [limiter.takeUse(name, quota)];
    const asked = report(coordinatorChooser.choose(name), uses).finally(() => {
      asking.delete(name);
    });
    asking.set(name, asked);
    return asked;
  };

  const decisionOf = (
    {name}: Organisation,
    verdict: DefiniteQuotaCheckResult,
  ): QuotaDecision => {
    if (verdict.kind === 'admitted') return ADMITTED;
    return {...verdict, coordinator: coordinatorChooser.choose(name)?.hostKey};
  };

  const decideAfterAsking = async (
    organisation: Organisation,
    rank: number,
  ): Promise<QuotaDecision> => {
    await Promise.race([ask(organisation), options.waitTimeout()]);
    const verdict = limiter.check(organisation, rank);
    if (verdict.kind !== 'unknown') return decisionOf(organisation, verdict);
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
    reporting.add(key);
    await report(host, uses);
    reporting.delete(key);
  };

  const probeZone = async (zone: string): Promise<void> => {
    probing.add(zone);
    await Promise.all(coordinatorChooser.probeTargets(zone).map(probe));
    probing.delete(zone);
  };

  /** A silent zone may be cut off, or have nothing to report. */
  const probeSilentZones = (): void => {
    for (const zone of coordinatorChooser.zones()) {
      const isAwaited =
        reachability.isPartitioned(zone) || coordinator.isActive();
      if (!isAwaited || probing.has(zone)) continue;
      if (reachability.sinceReceivedMillis(zone) >= PROBE_MILLIS) {
        void probeZone(zone);
      }
    }
  };

  const reportUses = (): void => {
    const groups = new Map<string, {host: T | undefined; uses: QuotaUsage[]}>();
    // One report at a time goes to each coordinator.
    const uses = limiter.takeUses(
      name =>
        !reporting.has(coordinatorChooser.choose(name)?.hostKey ?? ownHostKey),
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
      const verdict = limiter.check(organisation, rank);
      if (verdict.kind === 'unknown') {
        return decideAfterAsking(organisation, rank);
      }
      return decisionOf(organisation, verdict);
    },
    recordRan: limiter.recordRan,
    recordNotRun: limiter.recordNotRun,
    receive: received => {
      reachability.recordReceived(received.zone);
      return coordinator.receive(received);
    },
    tick: () => {
      reportUses();
      probeSilentZones();
    },
  };
}
