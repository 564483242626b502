/**
 * Messages between nodes and the coordinator of an organisation's quota.
 */

/**
 * Quota usage at one node, for the organisations that the receiver coordinates.
 */
export interface QuotaReport {
  /** Identifies one start of the reporting process. */
  readonly reporterId: string;
  /** Availability zone of the reporting node. */
  readonly zone: string;
  /** Increases with each report of a reporter; lower numbers are stale. */
  readonly sequence: number;
  readonly uses: readonly QuotaUsage[];
}

/** Usage of one organisation's quota at one node. */
export interface QuotaUsage {
  readonly organisation: string;
  /**
   * Requests that ran since the process started, minus those recorded as not
   * run.
   */
  readonly ranCount: number;
  /** Part of `ranCount` that no coordinator has confirmed yet. */
  readonly unconfirmedCount: number;
  /** Requests offered since the last report, by rank of their route. */
  readonly offeredCounts: readonly number[];
}

/** Response of a coordinator for one organisation in a report. */
export interface QuotaAllowance {
  readonly organisation: string;
  /** The coordinator has just taken over and has no measure of demand yet. */
  readonly isSettling: boolean;
  /**
   * Share of the requests to admit, by rank of their route; the last value also
   * applies to all higher ranks. Empty while all requests are admitted.
   */
  readonly admittedRatios: readonly number[];
  /** Time until the quota has capacity again; 0 if it has capacity now. */
  readonly returnMillis: number;
  /**
   * Rate of requests that ran in the whole fleet, as reported to the
   * coordinator.
   */
  readonly ranPerSecond: number;
  readonly limitPerSecond: number;
}

/** Number of distinct ranks; higher ranks count as the last one. */
export const QUOTA_RANKS_COUNT = 8;
