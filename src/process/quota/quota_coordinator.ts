/** Quota accounts of the organisations that this node coordinates. */
import type {OrganisationQuota} from '../../version/organisation.js';
import type {QuotaBound} from '../settings/node_settings.js';
import type {QuotaAccount} from './quota_account.js';
import {createQuotaAccount} from './quota_account.js';
import type {
  QuotaAllowance,
  QuotaReport,
  QuotaUsage,
} from '../../protocol/quota_messages.js';

/** Quota coordinator of one node. */
export interface QuotaCoordinator {
  /** Records a report and returns the allowances that apply from now on. */
  receive(report: QuotaReport): readonly QuotaAllowance[];
  /** Number of organisations with an account here. */
  readonly accountsCount: number;
  /** Whether an account was used recently. */
  isActive(): boolean;
  /** Removes inactive accounts and reporters. */
  expire(): void;
}

/** Dependencies of a quota coordinator. */
export interface QuotaCoordinatorOptions {
  /** Quota of an organisation in the version in force. */
  readonly quotaOf: (organisation: string) => OrganisationQuota | undefined;
  readonly bound: () => QuotaBound;
  /** Whether all nodes would choose this one if they could reach it. */
  readonly isFirstChoice: (organisation: string) => boolean;
  /** Share of the fleet that can reach this node. */
  readonly reachableRatio: () => number;
  readonly nowMillis: () => number;
}

/** Inactivity after which an account is removed; it is full again by then. */
const INACTIVITY_MILLIS = 30_000;

/** Time after its last use for which an account counts as active. */
const ACTIVE_MILLIS = 1000;

interface Reporter {
  readonly ranCounts: Map<string, number>;
  sequence: number;
  lastReportMillis: number;
}

interface UsedAccount {
  readonly account: QuotaAccount;
  usedMillis: number;
}

/** Creates a coordinator without accounts. */
export function createQuotaCoordinator(
  options: QuotaCoordinatorOptions,
): QuotaCoordinator {
  const {quotaOf, bound, nowMillis} = options;
  const startedMillis = nowMillis();
  const accounts = new Map<string, UsedAccount>();
  const reporters = new Map<string, Reporter>();

  /**
   * Whether another coordinator, or this one before a restart, may have counts
   * that this one lacks.
   */
  const isTakenOver = (organisation: string): boolean => {
    const isRecentlyStarted =
      nowMillis() - startedMillis < bound().windowMillis;
    return isRecentlyStarted || !options.isFirstChoice(organisation);
  };

  const accountOf = (
    organisation: string,
    quota: OrganisationQuota,
  ): QuotaAccount => {
    const known = accounts.get(organisation);
    if (known !== undefined) {
      known.usedMillis = nowMillis();
      return known.account;
    }
    const account = createQuotaAccount({
      organisation,
      quota: () => quotaOf(organisation) ?? quota,
      bound,
      fleetRatio: options.reachableRatio,
      isTakenOver: isTakenOver(organisation),
      nowMillis,
    });
    accounts.set(organisation, {account, usedMillis: nowMillis()});
    return account;
  };

  const reporterOf = (reporterId: string): Reporter => {
    const known = reporters.get(reporterId);
    if (known !== undefined) return known;
    const created = {ranCounts: new Map(), sequence: -1, lastReportMillis: 0};
    reporters.set(reporterId, created);
    return created;
  };

  /**
   * Requests that ran since the last report, except those that another
   * coordinator has confirmed meanwhile or that were counted here although the
   * response was lost.
   */
  const newRunsCount = ({ranCounts}: Reporter, use: QuotaUsage): number => {
    const before = ranCounts.get(use.organisation);
    ranCounts.set(use.organisation, use.ranCount);
    if (before === undefined) return use.unconfirmedCount;
    return Math.min(use.unconfirmedCount, use.ranCount - before);
  };

  return {
    receive: ({reporterId, sequence, uses}) => {
      const reporter = reporterOf(reporterId);
      const isStale = sequence <= reporter.sequence;
      reporter.sequence = Math.max(reporter.sequence, sequence);
      reporter.lastReportMillis = nowMillis();
      const allowances: QuotaAllowance[] = [];
      for (const use of uses) {
        const quota = quotaOf(use.organisation);
        if (quota === undefined) {
          allowances.push(unlimited(use.organisation));
          continue;
        }
        const account = accountOf(use.organisation, quota);
        if (!isStale) {
          account.recordRan(newRunsCount(reporter, use));
          account.recordOffered(use.offeredCounts);
        }
        allowances.push(account.allowance());
      }
      return allowances;
    },
    get accountsCount() {
      return accounts.size;
    },
    isActive: () => {
      const sinceMillis = nowMillis() - ACTIVE_MILLIS;
      for (const {usedMillis} of accounts.values()) {
        if (usedMillis >= sinceMillis) return true;
      }
      return false;
    },
    expire: () => {
      const sinceMillis = nowMillis() - INACTIVITY_MILLIS;
      for (const [organisation, {usedMillis}] of accounts) {
        if (usedMillis < sinceMillis) accounts.delete(organisation);
      }
      for (const [reporterId, {lastReportMillis}] of reporters) {
        if (lastReportMillis < sinceMillis) reporters.delete(reporterId);
      }
    },
  };
}

/**
 * Allowance of an organisation that has no quota in this node's version, or is
 * not part of it.
 */
function unlimited(organisation: string): QuotaAllowance {
  return {
    organisation,
    isSettling: false,
    admittedRatios: [],
    returnMillis: 0,
    ranPerSecond: 0,
    limitPerSecond: 0,
  };
}
