/**
 * Accounts of the organisations whose quotas this node coordinates.
 */
import type {OrganisationQuota} from '../../version/organisation.js';
import type {QuotaBound} from '../settings/node_settings.js';
import type {QuotaAccount} from './quota_account.js';
import {createQuotaAccount} from './quota_account.js';
import type {
  QuotaAllowance,
  QuotaReport,
  QuotaUsage,
} from '../../protocol/quota_messages.js';

/** The coordinator of one node. */
export interface QuotaCoordinator {
  /** Records a report and returns the allowances that hold from now on. */
  receive(report: QuotaReport): readonly QuotaAllowance[];
  /** Organisations with an account here. */
  readonly accountsCount: number;
  /** Whether an account was used a moment ago. */
  isActive(): boolean;
  /** Drops accounts and reporters that have been quiet. */
  expire(): void;
}

/** What a coordinator needs. */
export interface QuotaCoordinatorOptions {
  /** Quota of an organisation in the version in force. */
  readonly quotaOf: (organisation: string) => OrganisationQuota | undefined;
  readonly bound: () => QuotaBound;
  /** Whether all nodes would choose this one if they could reach it. */
  readonly isFirstChoice: (organisation: string) => boolean;
  /** Part of the fleet that can reach this node. */
  readonly reachableRatio: () => number;
  readonly nowMillis: () => number;
}

/** Quiet time after which an account is dropped; it is full again by then. */
const FORGET_MILLIS = 30_000;

/** Time after its last use for which an account counts as active. */
const ACTIVE_MILLIS = 1000;

interface Reporter {
  readonly ranCounts: Map<string, number>;
  sequence: number;
  seenMillis: number;
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

  /** Whether another coordinator, or this one before a restart, may know more. */
  const isTakenOver = (organisation: string): boolean => {
    const isNew = nowMillis() - startedMillis < bound().windowMillis;
    return isNew || !options.isFirstChoice(organisation);
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
    const created = {ranCounts: new Map(), sequence: -1, seenMillis: 0};
    reporters.set(reporterId, created);
    return created;
  };

  /**
   * Requests that ran since the last report, without those that another coordinator
   * has confirmed meanwhile or that were counted here though the answer was lost.
   */
  const newlyRan = ({ranCounts}: Reporter, use: QuotaUsage): number => {
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
      reporter.seenMillis = nowMillis();
      const allowances: QuotaAllowance[] = [];
      for (const use of uses) {
        const quota = quotaOf(use.organisation);
        if (quota === undefined) {
          allowances.push(unlimited(use.organisation));
          continue;
        }
        const account = accountOf(use.organisation, quota);
        if (!isStale) {
          account.recordRan(newlyRan(reporter, use));
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
      const sinceMillis = nowMillis() - FORGET_MILLIS;
      for (const [organisation, {usedMillis}] of accounts) {
        if (usedMillis < sinceMillis) accounts.delete(organisation);
      }
      for (const [reporterId, {seenMillis}] of reporters) {
        if (seenMillis < sinceMillis) reporters.delete(reporterId);
      }
    },
  };
}

/** An organisation that this node's version does not limit, or does not have. */
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
