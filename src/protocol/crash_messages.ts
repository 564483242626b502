/**
 * Crashes of upstreams as nodes report them to each other.
 */

/** One crash with the requests that were in progress. */
export interface CrashFields {
  /** Unique among all crashes. */
  readonly crashId: string;
  readonly upstreamId: string;
  readonly ageMillis: number;
  /** Of requests that may have caused it. */
  readonly fingerprints: readonly string[];
  /** Of requests that were answered elsewhere since. */
  readonly clearedFingerprints: readonly string[];
}

/** Summary of what a node knows of one crash. */
export interface CrashSummary {
  readonly crashId: string;
  /** Equal for equal knowledge. */
  readonly digest: string;
}

/** One message. */
export interface CrashReport {
  /** Of all that the sender knows. */
  readonly digest: string;
  /** Crashes that the receiver may lack, in full or in part. */
  readonly crashes: readonly CrashFields[];
  /** All crashes that the sender knows, where digests have differed. */
  readonly summaries: readonly CrashSummary[];
  /** Crashes that the sender asks for. */
  readonly wantedIds: readonly string[];
}
