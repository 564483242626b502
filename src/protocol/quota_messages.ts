/**
 * What nodes report to the coordinator of an organisation's quota, and what it
 * answers.
 */

/** Use of quotas at one node, sent to the coordinator of these organisations. */
export interface QuotaReport {
  /** Identifies one start of the reporting process. */
  readonly reporterId: string;
  /** Availability zone of the reporting node. */
  readonly zone: string;
  /** Rises with each report of a reporter; an older one that comes late is stale. */
  readonly sequence: number;
  readonly uses: readonly QuotaUsage[];
}

/** Use of one organisation's quota at one node. */
export interface QuotaUsage {
  readonly organisation: string;
  /** Requests that have run, less those taken back, since the process started. */
  readonly ranCount: number;
  /** Part of these that no coordinator has confirmed yet. */
  readonly unconfirmedCount: number;
  /** Requests offered since the last report, by rank of their route. */
  readonly offeredCounts: readonly number[];
}

/** What a coordinator answers to a report, one for each organisation in it. */
export interface QuotaAllowance {
  readonly organisation: string;
  /** The coordinator has just taken over and does not know demand yet. */
  readonly isSettling: boolean;
  /**
   * Share of the requests to admit, by rank of their route; a rank beyond the
   * last one has the share of the last. Empty while all are admitted.
   */
  readonly admittedRatios: readonly number[];
  /** Time until the quota has room again; 0 while it has. */
  readonly returnMillis: number;
  /** Requests that ran in the whole fleet, as far as the coordinator knows. */
  readonly ranPerSecond: number;
  readonly limitPerSecond: number;
}

/** Ranks that quotas distinguish; those beyond count as the last. */
export const QUOTA_RANKS_COUNT = 8;
