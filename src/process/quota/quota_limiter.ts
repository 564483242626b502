/**
 * Decides at the entry node whether a request is within the quota of its
 * organisation, by the last allowance of the quota's coordinator.
 *
 * Load pattern: most organisations are far below their limit at all times, so a
 * request is admitted without a message and counted. Where a single request at
 * each node would use up the tolerated excess, a node without an allowance for
 * an organisation requests one before it admits a request.
 */
import type {
  Organisation,
  OrganisationQuota,
} from '../../version/organisation.js';
import type {QuotaBound} from '../settings/node_settings.js';
import type {
  QuotaAllowance,
  QuotaUsage,
} from '../../protocol/quota_messages.js';
import {QUOTA_RANKS_COUNT} from '../../protocol/quota_messages.js';

/** Quota decisions of one node. */
export interface QuotaLimiter {
  /** Decides whether to admit a request, by the rank of its route. */
  check(organisation: Organisation, rank: number): QuotaCheckResult;
  /**
   * Decides whether to admit a request whose coordinator does not respond: by
   * its last allowance, or by an equal share of the quota for each node.
   */
  checkWithoutCoordinator(
    organisation: Organisation,
    rank: number,
  ): DefiniteQuotaCheckResult;
  /**
   * Records that a request is passed on; it runs unless `recordNotRun` is
   * called.
   */
  recordRan(organisation: Organisation): void;
  /** Records that a request was passed on and has not run. */
  recordNotRun(organisation: Organisation): void;
  /** Takes the usages to report now, of organisations that pass the filter. */
  takeDueUsages(
    mayReport: (organisation: string) => boolean,
  ): readonly QuotaUsage[];
  /**
   * Takes the usage of one organisation to report now, before a request of it
   * is admitted.
   */
  takeUsage(organisation: string, quota: OrganisationQuota): QuotaUsage;
  /** Records the response to a report of these usages. */
  confirm(
    uses: readonly QuotaUsage[],
    allowances: readonly QuotaAllowance[],
  ): void;
  /**
   * Records that there was no response to a report of these usages, so that
   * they are due again.
   */
  recordUnanswered(uses: readonly QuotaUsage[]): void;
  /** Allowances of organisations that are limited now. */
  limited(): readonly CachedAllowance[];
  /** Removes inactive organisations. */
  expire(): void;
}

/** Result of a check. */
export type QuotaCheckResult =
  | DefiniteQuotaCheckResult
  /**
   * No recent allowance is known, and a wrong decision at each node could exceed
   * the tolerated excess.
   */
  | {readonly kind: 'unknown'};

/** Result of a check that does not need another allowance. */
export type DefiniteQuotaCheckResult =
  | {readonly kind: 'admitted'}
  | {readonly kind: 'over-quota'; readonly allowance: CachedAllowance};

/** Allowance of an organisation as cached by a node. */
export interface CachedAllowance extends QuotaAllowance {
  /** Age of the cached allowance. */
  readonly ageMillis: number;
}

/** Dependencies of a quota limiter. */
export interface QuotaLimiterOptions {
  readonly bound: () => QuotaBound;
  readonly nodesCount: () => number;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Time for which an allowance is valid. */
const VALID_MILLIS = 2000;

/**
 * Time for which an allowance is valid while the coordinator does not respond.
 */
const STALE_MILLIS = 10_000;

/**
 * Share of the tolerated excess that the first requests of all nodes may use
 * up.
 */
const FIRST_REQUESTS_RATIO = 0.4;

/** Inactivity after which an organisation is removed. */
const INACTIVITY_MILLIS = 10_000;

const MILLIS_PER_SECOND = 1000;

/** Usage of one organisation at this node, and its allowance. */
interface OrganisationUsage {
  readonly organisation: string;
  ranCount: number;
  confirmedCount: number;
  hasChanged: boolean;
  readonly offeredCounts: number[];
  /**
   * Sum of the admitted ratios by rank, one for each offered request, less 1
   * for each admitted request.
   */
  readonly credits: number[];
  usedMillis: number;
  allowance: QuotaAllowance | undefined;
  allowanceReceivedMillis: number;
  /** Remaining requests of the equal share, and when it was last refilled. */
  shareCount: number;
  shareRefilledMillis: number;
}

const ADMITTED: DefiniteQuotaCheckResult = {kind: 'admitted'};
const UNKNOWN: QuotaCheckResult = {kind: 'unknown'};

/** Creates a limiter without any recorded usage. */
export function createQuotaLimiter(options: QuotaLimiterOptions): QuotaLimiter {
  const {bound, nodesCount, nowMillis, random} = options;
  const uses = new Map<string, OrganisationUsage>();

  const usageOf = (
    organisation: string,
    quota: OrganisationQuota,
  ): OrganisationUsage => {
    const known = uses.get(organisation);
    if (known !== undefined) return known;
    const toleratedCount = firstRequestsCount(quota, bound());
    const firstRequestRatio = toleratedCount / Math.max(1, nodesCount());
    const created: OrganisationUsage = {
      organisation,
      ranCount: 0,
      confirmedCount: 0,
      hasChanged: false,
      offeredCounts: new Array<number>(QUOTA_RANKS_COUNT).fill(0),
      // Starts at random: where each node receives few requests, all nodes
      // would otherwise refuse their first ones.
      credits: Array.from({length: QUOTA_RANKS_COUNT}, random),
      usedMillis: nowMillis(),
      allowance: undefined,
      allowanceReceivedMillis: -Infinity,
      shareCount: random() < firstRequestRatio ? 1 : random(),
      shareRefilledMillis: nowMillis(),
    };
    uses.set(organisation, created);
    return created;
  };

  const isAllowanceValid = ({
    allowanceReceivedMillis,
  }: OrganisationUsage): boolean =>
    nowMillis() - allowanceReceivedMillis <= VALID_MILLIS;

  const isAllowanceUsable = ({
    allowanceReceivedMillis,
  }: OrganisationUsage): boolean =>
    nowMillis() - allowanceReceivedMillis <= STALE_MILLIS;

  const applyAllowance = (
    use: OrganisationUsage,
    index: number,
  ): DefiniteQuotaCheckResult => {
    if (use.allowance === undefined || takeCredit(use, index)) return ADMITTED;
    const ageMillis = nowMillis() - use.allowanceReceivedMillis;
    return {kind: 'over-quota', allowance: {...use.allowance, ageMillis}};
  };

  const takeShare = (
    use: OrganisationUsage,
    {ratePerSecond}: OrganisationQuota,
  ): boolean => {
    const now = nowMillis();
    const perNode = ratePerSecond / Math.max(1, nodesCount());
    const added =
      (perNode * (now - use.shareRefilledMillis)) / MILLIS_PER_SECOND;
    const shareCount = Math.min(Math.max(1, perNode), use.shareCount + added);
    use.shareRefilledMillis = now;
    use.shareCount = shareCount >= 1 ? shareCount - 1 : shareCount;
    return shareCount >= 1;
  };

  const toReport = (use: OrganisationUsage): QuotaUsage => {
    const offeredCounts = [...use.offeredCounts];
    use.offeredCounts.fill(0);
    use.hasChanged = false;
    const {organisation, ranCount, confirmedCount} = use;
    const unconfirmedCount = ranCount - confirmedCount;
    return {organisation, ranCount, unconfirmedCount, offeredCounts};
  };

  const count = (use: OrganisationUsage, added: number): void => {
    use.ranCount += added;
    use.hasChanged = true;
  };

  /** A limiting allowance that is in use is refreshed before it expires. */
  const isDue = (use: OrganisationUsage): boolean =>
    use.hasChanged ||
    (isLimited(use) && nowMillis() - use.usedMillis <= VALID_MILLIS);

  return {
    check: ({name, quota}, rank) => {
      if (quota === undefined) return ADMITTED;
      const use = usageOf(name, quota);
      const index = Math.min(rank, QUOTA_RANKS_COUNT - 1);
      if (!isAllowanceValid(use)) {
        if (nodesCount() > firstRequestsCount(quota, bound())) return UNKNOWN;
        recordOffered(use, index, nowMillis());
        return ADMITTED;
      }
      recordOffered(use, index, nowMillis());
      return applyAllowance(use, index);
    },
    recordRan: ({name, quota}) => {
      if (quota !== undefined) count(usageOf(name, quota), 1);
    },
    recordNotRun: ({name, quota}) => {
      if (quota !== undefined) count(usageOf(name, quota), -1);
    },
    checkWithoutCoordinator: ({name, quota}, rank) => {
      if (quota === undefined) return ADMITTED;
      const use = usageOf(name, quota);
      const index = Math.min(rank, QUOTA_RANKS_COUNT - 1);
      recordOffered(use, index, nowMillis());
      if (isAllowanceUsable(use)) return applyAllowance(use, index);
      if (takeShare(use, quota)) return ADMITTED;
      return {kind: 'over-quota', allowance: unansweredAllowance(name, quota)};
    },
    takeDueUsages: mayReport => {
      const due: QuotaUsage[] = [];
      for (const use of uses.values()) {
        if (isDue(use) && mayReport(use.organisation)) due.push(toReport(use));
      }
      return due;
    },
    takeUsage: (name, quota) => toReport(usageOf(name, quota)),
    confirm: (reported, allowances) => {
      for (const {organisation, ranCount} of reported) {
        const use = uses.get(organisation);
        if (use !== undefined) use.confirmedCount = ranCount;
      }
      for (const allowance of allowances) {
        const use = uses.get(allowance.organisation);
        if (use === undefined) continue;
        const keepsPrevious = allowance.isSettling && isAllowanceUsable(use);
        if (!keepsPrevious) use.allowance = allowance;
        use.allowanceReceivedMillis = nowMillis();
      }
    },
    recordUnanswered: reported => {
      for (const {organisation} of reported) {
        const use = uses.get(organisation);
        if (use !== undefined) use.hasChanged = true;
      }
    },
    limited: () => {
      const now = nowMillis();
      const allowances: CachedAllowance[] = [];
      for (const use of uses.values()) {
        if (use.allowance === undefined || !isLimited(use)) continue;
        allowances.push({
          ...use.allowance,
          ageMillis: now - use.allowanceReceivedMillis,
        });
      }
      return allowances;
    },
    expire: () => {
      const sinceMillis = nowMillis() - INACTIVITY_MILLIS;
      for (const [name, use] of uses) {
        if (use.usedMillis < sinceMillis && !use.hasChanged) uses.delete(name);
      }
    },
  };
}

/** Allowance of an organisation whose coordinator has never responded. */
function unansweredAllowance(
  organisation: string,
  {ratePerSecond}: OrganisationQuota,
): CachedAllowance {
  return {
    organisation,
    isSettling: false,
    admittedRatios: [],
    returnMillis: 0,
    ranPerSecond: 0,
    limitPerSecond: ratePerSecond,
    ageMillis: Infinity,
  };
}

function recordOffered(
  use: OrganisationUsage,
  index: number,
  now: number,
): void {
  use.offeredCounts[index] = (use.offeredCounts[index] ?? 0) + 1;
  use.usedMillis = now;
  use.hasChanged = true;
}

function isLimited({allowance}: OrganisationUsage): boolean {
  return (allowance?.admittedRatios.length ?? 0) > 0;
}

/**
 * Adds the admitted ratio to the credit of a rank, and takes a whole request
 * from it if possible.
 */
function takeCredit(
  {allowance, credits}: OrganisationUsage,
  index: number,
): boolean {
  const ratios = allowance?.admittedRatios ?? [];
  if (ratios.length === 0) return true;
  const ratio = ratios[Math.min(index, ratios.length - 1)] ?? 0;
  const credit = Math.min((credits[index] ?? 0) + ratio, 1 + ratio);
  const isAdmitted = credit >= 1;
  credits[index] = isAdmitted ? credit - 1 : credit;
  return isAdmitted;
}

/** Requests that may run in the whole fleet before any allowance is known. */
function firstRequestsCount(
  {ratePerSecond, burstCount}: OrganisationQuota,
  {overageRatio, slackCount, windowMillis}: QuotaBound,
): number {
  const windowSeconds = windowMillis / MILLIS_PER_SECOND;
  const limitCount = ratePerSecond * windowSeconds + burstCount;
  const toleratedCount = overageRatio * limitCount + slackCount;
  return FIRST_REQUESTS_RATIO * toleratedCount;
}
