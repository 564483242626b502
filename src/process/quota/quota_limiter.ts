/**
 * Decides at the entry whether a request is within the quota of its organisation,
 * by what the coordinator of the quota allowed last.
 *
 * Load pattern: most organisations are far below their limit at all times, so a
 * request is admitted without a message and counted. Where a single request at each
 * node would use up the tolerated excess, a node that knows nothing of an
 * organisation asks before it admits one.
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

/** Gate of one node. */
export interface QuotaLimiter {
  /** Whether to admit a request, by the rank of its route. */
  check(organisation: Organisation, rank: number): QuotaCheckResult;
  /**
   * Whether to admit a request whose coordinator does not answer: by what it
   * allowed last, or by an equal share of the quota for each node.
   */
  checkWithoutCoordinator(
    organisation: Organisation,
    rank: number,
  ): DefiniteQuotaCheckResult;
  /** The request is passed on, and runs unless it is taken back. */
  recordRan(organisation: Organisation): void;
  /** The request was passed on and has not run. */
  recordNotRun(organisation: Organisation): void;
  /** Uses to report now, of organisations that pass the filter. */
  takeUses(mayReport: (organisation: string) => boolean): readonly QuotaUsage[];
  /** Uses of one organisation to report now, before a request of it is admitted. */
  takeUse(organisation: string, quota: OrganisationQuota): QuotaUsage;
  /** A report of these was answered. */
  confirm(
    uses: readonly QuotaUsage[],
    allowances: readonly QuotaAllowance[],
  ): void;
  /** A report of these was not answered; they are due again. */
  recordUnanswered(uses: readonly QuotaUsage[]): void;
  /** What is known of organisations that are limited now. */
  limited(): readonly CachedAllowance[];
  /** Drops what is known of organisations that have been quiet. */
  expire(): void;
}

/** What comes of a check. */
export type QuotaCheckResult =
  | DefiniteQuotaCheckResult
  /** Nothing is known that is recent enough, and it matters. */
  | {readonly kind: 'unknown'};

/** A verdict by what is known. */
export type DefiniteQuotaCheckResult =
  | {readonly kind: 'admitted'}
  | {readonly kind: 'over-quota'; readonly allowance: CachedAllowance};

/** An allowance as a node knows it. */
export interface CachedAllowance extends QuotaAllowance {
  /** Age of what is known. */
  readonly ageMillis: number;
}

/** What a gate needs. */
export interface QuotaLimiterOptions {
  readonly bound: () => QuotaBound;
  readonly nodesCount: () => number;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Time for which an allowance is followed. */
const FOLLOWED_MILLIS = 2000;

/** Time for which it is followed while the coordinator does not answer. */
const STALE_MILLIS = 10_000;

/** Part of the tolerated excess that first requests of all nodes may use up. */
const FIRST_REQUESTS_RATIO = 0.4;

/** Quiet time after which an organisation is forgotten. */
const FORGET_MILLIS = 10_000;

const MILLIS_PER_SECOND = 1000;

/** What a node keeps of one organisation. */
interface Use {
  readonly organisation: string;
  ranCount: number;
  confirmedCount: number;
  hasChanged: boolean;
  readonly offeredCounts: number[];
  /** Parts of requests that the shares of each rank have added up to. */
  readonly credits: number[];
  usedMillis: number;
  allowance: QuotaAllowance | undefined;
  allowedMillis: number;
  /** Requests of the equal share that are left, and since when. */
  shareCount: number;
  sharedMillis: number;
}

const ADMITTED: DefiniteQuotaCheckResult = {kind: 'admitted'};
const UNKNOWN: QuotaCheckResult = {kind: 'unknown'};

/** Creates a gate that knows of no use. */
export function createQuotaLimiter(options: QuotaLimiterOptions): QuotaLimiter {
  const {bound, nodesCount, nowMillis, random} = options;
  const uses = new Map<string, Use>();

  const useOf = (organisation: string, quota: OrganisationQuota): Use => {
    const known = uses.get(organisation);
    if (known !== undefined) return known;
    const toleratedCount = firstRequestsCount(quota, bound());
    const firstPart = toleratedCount / Math.max(1, nodesCount());
    const created: Use = {
      organisation,
      ranCount: 0,
      confirmedCount: 0,
      hasChanged: false,
      offeredCounts: new Array<number>(QUOTA_RANKS_COUNT).fill(0),
      // A random beginning: where each node sees few requests, all of them would
      // else refuse their first ones.
      credits: Array.from({length: QUOTA_RANKS_COUNT}, random),
      usedMillis: nowMillis(),
      allowance: undefined,
      allowedMillis: -Infinity,
      shareCount: random() < firstPart ? 1 : random(),
      sharedMillis: nowMillis(),
    };
    uses.set(organisation, created);
    return created;
  };

  const isKnown = ({allowedMillis}: Use): boolean =>
    nowMillis() - allowedMillis <= FOLLOWED_MILLIS;

  const isFollowable = ({allowedMillis}: Use): boolean =>
    nowMillis() - allowedMillis <= STALE_MILLIS;

  const followAllowance = (
    use: Use,
    place: number,
  ): DefiniteQuotaCheckResult => {
    if (use.allowance === undefined || takesPart(use, place)) return ADMITTED;
    const ageMillis = nowMillis() - use.allowedMillis;
    return {kind: 'over-quota', allowance: {...use.allowance, ageMillis}};
  };

  const takesShare = (
    use: Use,
    {ratePerSecond}: OrganisationQuota,
  ): boolean => {
    const now = nowMillis();
    const perNode = ratePerSecond / Math.max(1, nodesCount());
    const added = (perNode * (now - use.sharedMillis)) / MILLIS_PER_SECOND;
    const shareCount = Math.min(Math.max(1, perNode), use.shareCount + added);
    use.sharedMillis = now;
    use.shareCount = shareCount >= 1 ? shareCount - 1 : shareCount;
    return shareCount >= 1;
  };

  const toReport = (use: Use): QuotaUsage => {
    const offeredCounts = [...use.offeredCounts];
    use.offeredCounts.fill(0);
    use.hasChanged = false;
    const {organisation, ranCount, confirmedCount} = use;
    const unconfirmedCount = ranCount - confirmedCount;
    return {organisation, ranCount, unconfirmedCount, offeredCounts};
  };

  const count = (use: Use, added: number): void => {
    use.ranCount += added;
    use.hasChanged = true;
  };

  /** A limit that is in use is asked for again before it is out of date. */
  const isDue = (use: Use): boolean =>
    use.hasChanged ||
    (isLimited(use) && nowMillis() - use.usedMillis <= FOLLOWED_MILLIS);

  return {
    check: ({name, quota}, rank) => {
      if (quota === undefined) return ADMITTED;
      const use = useOf(name, quota);
      const place = Math.min(rank, QUOTA_RANKS_COUNT - 1);
      if (!isKnown(use)) {
        if (nodesCount() > firstRequestsCount(quota, bound())) return UNKNOWN;
        recordOffered(use, place, nowMillis());
        return ADMITTED;
      }
      recordOffered(use, place, nowMillis());
      return followAllowance(use, place);
    },
    recordRan: ({name, quota}) => {
      if (quota !== undefined) count(useOf(name, quota), 1);
    },
    recordNotRun: ({name, quota}) => {
      if (quota !== undefined) count(useOf(name, quota), -1);
    },
    checkWithoutCoordinator: ({name, quota}, rank) => {
      if (quota === undefined) return ADMITTED;
      const use = useOf(name, quota);
      const place = Math.min(rank, QUOTA_RANKS_COUNT - 1);
      recordOffered(use, place, nowMillis());
      if (isFollowable(use)) return followAllowance(use, place);
      if (takesShare(use, quota)) return ADMITTED;
      return {kind: 'over-quota', allowance: unansweredFor(name, quota)};
    },
    takeUses: mayReport => {
      const due: QuotaUsage[] = [];
      for (const use of uses.values()) {
        if (isDue(use) && mayReport(use.organisation)) due.push(toReport(use));
      }
      return due;
    },
    takeUse: (name, quota) => toReport(useOf(name, quota)),
    confirm: (reported, allowances) => {
      for (const {organisation, ranCount} of reported) {
        const use = uses.get(organisation);
        if (use !== undefined) use.confirmedCount = ranCount;
      }
      for (const allowance of allowances) {
        const use = uses.get(allowance.organisation);
        if (use === undefined) continue;
        const stands = allowance.isSettling && isFollowable(use);
        if (!stands) use.allowance = allowance;
        use.allowedMillis = nowMillis();
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
      const known: CachedAllowance[] = [];
      for (const use of uses.values()) {
        if (use.allowance === undefined || !isLimited(use)) continue;
        known.push({...use.allowance, ageMillis: now - use.allowedMillis});
      }
      return known;
    },
    expire: () => {
      const sinceMillis = nowMillis() - FORGET_MILLIS;
      for (const [name, use] of uses) {
        if (use.usedMillis < sinceMillis && !use.hasChanged) uses.delete(name);
      }
    },
  };
}

/** What is known of an organisation whose coordinator has never answered. */
function unansweredFor(
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

function recordOffered(use: Use, place: number, now: number): void {
  use.offeredCounts[place] = (use.offeredCounts[place] ?? 0) + 1;
  use.usedMillis = now;
  use.hasChanged = true;
}

function isLimited({allowance}: Use): boolean {
  return (allowance?.admittedRatios.length ?? 0) > 0;
}

/** Adds a request's share and takes a whole request from it, if it is there. */
function takesPart({allowance, credits}: Use, place: number): boolean {
  const ratios = allowance?.admittedRatios ?? [];
  if (ratios.length === 0) return true;
  const ratio = ratios[Math.min(place, ratios.length - 1)] ?? 0;
  const credit = Math.min((credits[place] ?? 0) + ratio, 1 + ratio);
  const isAdmitted = credit >= 1;
  credits[place] = isAdmitted ? credit - 1 : credit;
  return isAdmitted;
}

/** Requests that may run in the whole fleet before anything is known of them. */
function firstRequestsCount(
  {ratePerSecond, burstCount}: OrganisationQuota,
  {overageRatio, slackCount, windowMillis}: QuotaBound,
): number {
  const windowSeconds = windowMillis / MILLIS_PER_SECOND;
  const limitCount = ratePerSecond * windowSeconds + burstCount;
  const toleratedCount = overageRatio * limitCount + slackCount;
  return FIRST_REQUESTS_RATIO * toleratedCount;
}
