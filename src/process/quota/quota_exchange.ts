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
  QuotaUse,
} from '../../protocol/quota_messages.js';
import type {CoordinatorChoice} from './coordinator_choice.js';
import type {QuotaCoordinator} from './quota_coordinator.js';
import type {KnownAllowance, KnownVerdict, QuotaGate} from './quota_gate.js';
import type {ZonedHost, ZoneReach} from './zone_reach.js';

/** The exchange of one node. */
export interface QuotaExchange {
  /** Decides about a request; waits only where nothing is known that matters. */
  decide(
    organisation: Organisation,
    rank: number,
  ): QuotaDecision | Promise<QuotaDecision>;
  /** The request is passed on, and runs unless it is taken back. */
  recordRan(organisation: Organisation): void;
  /** The request was passed on and has not run. */
  takeBack(organisation: Organisation): void;
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
      readonly known: KnownAllowance;
      /** Where the coordinator of the organisation is. */
      readonly coordinator: string | undefined;
    };

/** What came of a report. */
export type ReportEnd =
  | {
      readonly kind: 'answered';
      readonly allowances: readonly QuotaAllowance[];
    }
  /** Nothing came; the node may be cut off. */
  | {readonly kind: 'silent'}
  /** Its host refused or closed the connection, so that it is not cut off. */
  | {readonly kind: 'closed'};

/** What an exchange needs. */
export interface QuotaExchangeOptions<T extends ZonedHost> {
  /** Identifies this start of the process. */
  readonly reporterId: string;
  readonly ownHostKey: string;
  readonly zone: string;
  readonly gate: QuotaGate;
  readonly coordinator: QuotaCoordinator;
  readonly choice: CoordinatorChoice<T>;
  readonly reach: ZoneReach;
  readonly send: (host: T, report: QuotaReport) => Promise<ReportEnd>;
  /** Resolves when an answer that a request waits for has taken too long. */
  readonly patience: () => Promise<void>;
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
export function createQuotaExchange<T extends ZonedHost>(
  options: QuotaExchangeOptions<T>,
): QuotaExchange {
  const {gate, coordinator, choice, reach, ownHostKey} = options;
  const asking = new Map<string, Promise<void>>();
  const reporting = new Set<string>();
  const probing = new Set<string>();
  let sequence = 0;

  const reportOf = (uses: readonly QuotaUse[]): QuotaReport => {
    sequence += 1;
    const {reporterId, zone} = options;
    return {reporterId, zone, sequence, uses};
  };

  const send = async (host: T, report: QuotaReport): Promise<ReportEnd> => {
    const end = await options.send(host, report);
    if (end.kind === 'answered') reach.noteHeard(host.zone);
    return end;
  };

  const noteFailed = (host: T, end: ReportEnd): void => {
    if (end.kind === 'silent') reach.noteSilent(host);
    if (end.kind === 'closed') reach.noteClosed(host);
  };

  const probe = async (host: T): Promise<void> => {
    noteFailed(host, await send(host, reportOf([])));
  };

  /** Asks once more, and others of its zone whether they can be reached. */
  const sendAgain = async (
    host: T,
    report: QuotaReport,
  ): Promise<ReportEnd> => {
    const [end] = await Promise.all([
      send(host, report),
      ...choice.witnesses(host.zone, host.hostKey).map(probe),
    ]);
    return end;
  };

  const report = async (
    host: T | undefined,
    uses: readonly QuotaUse[],
  ): Promise<void> => {
    const sent = reportOf(uses);
    if (host === undefined || host.hostKey === ownHostKey) {
      gate.confirm(uses, coordinator.receive(sent));
      return;
    }
    let end = await send(host, sent);
    for (let retry = 0; retry < RETRIES_COUNT; retry += 1) {
      if (end.kind === 'answered' || choice.isPassedOver(host)) break;
      end = await sendAgain(host, sent);
    }
    noteFailed(host, end);
    if (end.kind === 'answered') gate.confirm(uses, end.allowances);
    else gate.noteUnanswered(uses);
  };

  /** Requests that wait for the same answer share the question. */
  const ask = (organisation: Organisation): Promise<void> | undefined => {
    const {name, quota} = organisation;
    const known = asking.get(name);
    if (known !== undefined || quota === undefined) return known;
    const uses = [gate.takeUse(name, quota)];
    const asked = report(choice.choose(name), uses).finally(() => {
      asking.delete(name);
    });
    asking.set(name, asked);
    return asked;
  };

  const decisionOf = (
    {name}: Organisation,
    verdict: KnownVerdict,
  ): QuotaDecision => {
    if (verdict.kind === 'admitted') return ADMITTED;
    return {...verdict, coordinator: choice.choose(name)?.hostKey};
  };

  const decideAfterAsking = async (
    organisation: Organisation,
    rank: number,
  ): Promise<QuotaDecision> => {
    await Promise.race([ask(organisation), options.patience()]);
    const verdict = gate.check(organisation, rank);
    if (verdict.kind !== 'unknown') return decisionOf(organisation, verdict);
    return decisionOf(organisation, gate.checkUnanswered(organisation, rank));
  };

  const reportTo = async (
    host: T | undefined,
    uses: readonly QuotaUse[],
  ): Promise<void> => {
    const key = host?.hostKey ?? ownHostKey;
    reporting.add(key);
    await report(host, uses);
    reporting.delete(key);
  };

  const probeZone = async (zone: string): Promise<void> => {
    probing.add(zone);
    await Promise.all(choice.witnesses(zone).map(probe));
    probing.delete(zone);
  };

  /** A silent zone may be cut off, or have nothing to report. */
  const probeSilentZones = (): void => {
    for (const zone of choice.zones()) {
      const isAwaited = reach.isCutOff(zone) || coordinator.isActive();
      if (!isAwaited || probing.has(zone)) continue;
      if (reach.silentMillis(zone) >= PROBE_MILLIS) void probeZone(zone);
    }
  };

  const reportUses = (): void => {
    const groups = new Map<string, {host: T | undefined; uses: QuotaUse[]}>();
    // One report at a time goes to each coordinator.
    const uses = gate.takeUses(
      name => !reporting.has(choice.choose(name)?.hostKey ?? ownHostKey),
    );
    for (const use of uses) {
      const host = choice.choose(use.organisation);
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
      const verdict = gate.check(organisation, rank);
      if (verdict.kind === 'unknown') {
        return decideAfterAsking(organisation, rank);
      }
      return decisionOf(organisation, verdict);
    },
    recordRan: gate.recordRan,
    takeBack: gate.takeBack,
    receive: received => {
      reach.noteHeard(received.zone);
      return coordinator.receive(received);
    },
    tick: () => {
      reportUses();
      probeSilentZones();
    },
  };
}
