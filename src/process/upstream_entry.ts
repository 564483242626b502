/**
 * What is published about one upstream.
 */

/** One start of one upstream. */
export interface UpstreamEntry {
  /** Id of this start; never used again. */
  readonly id: string;
  readonly service: string;
  /** IP address of the host. */
  readonly hostAddress: string;
  /** Where the upstream listens, as `address:port`. */
  readonly listenAddress: string;
  readonly zone: string;
  /** Requests it works on at the same time. */
  readonly slotsCount: number;
  readonly isDraining: boolean;
  /** How much longer it stays slow after its start, when this was published. */
  readonly coldLeftMillis: number;
}
