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

/** What one node reports. */
export interface CrashReport {
  /** Of all that it knows once it has read the other node's last report. */
  readonly digest: string;
  readonly crashes: readonly CrashFields[];
}
