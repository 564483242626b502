/**
 * Crash reports that nodes exchange about upstreams.
 */

/** One crash with the requests that were in progress. */
export interface CrashFields {
  /** Unique across all crashes. */
  readonly crashId: string;
  readonly upstreamId: string;
  readonly ageMillis: number;
  /** Fingerprints of requests that may have caused the crash. */
  readonly fingerprints: readonly string[];
  /** Fingerprints of requests that another upstream has answered since. */
  readonly clearedFingerprints: readonly string[];
}

/** Summary of the data that a node holds for one crash. */
export interface CrashSummary {
  readonly crashId: string;
  /** Equal for nodes that hold the same data. */
  readonly digest: string;
}

/** Crash report message. */
export interface CrashReport {
  /** Digest over all crashes that the sender has recorded. */
  readonly digest: string;
  /** Crashes that may be missing or incomplete at the receiver. */
  readonly crashes: readonly CrashFields[];
  /** All crashes that the sender has recorded; sent after digests differed. */
  readonly summaries: readonly CrashSummary[];
  /** Ids of crashes that the sender requests. */
  readonly wantedIds: readonly string[];
}
