/**
 * Settings of one node and its environment.
 */

/** Address and port to bind or connect to. */
export interface Endpoint {
  readonly address: string;
  readonly port: number;
}

/** Limit on the retries that one service receives from the whole fleet. */
export interface RetryBound {
  /** Retries per request within the window. */
  readonly ratio: number;
  readonly windowMillis: number;
  /** Additional retries of the whole fleet per window. */
  readonly slackCount: number;
}

/** Limits by which organisations may exceed their quotas. */
export interface QuotaBound {
  /** Time over which requests are counted. */
  readonly windowMillis: number;
  /** Fraction of a quota that may run in addition to it within the window. */
  readonly overageRatio: number;
  /** Requests that may run in addition to both. */
  readonly slackCount: number;
}

export interface NodeSettings {
  readonly nodeName: string;
  readonly zone: string;
  readonly region: string;
  /** Key of this host, as used in the entries of upstreams. */
  readonly hostKey: string;
  /** Endpoint for requests of the clients of this host and of its upstream. */
  readonly outbound: Endpoint;
  /** Endpoint for the calls of the upstream, if separate from the clients'. */
  readonly local?: Endpoint;
  /** Endpoint for requests of other nodes to the upstream of this host. */
  readonly inbound: Endpoint;
  /** Endpoint for readiness checks only, if separate from `operators`. */
  readonly ready: Endpoint | undefined;
  /** Endpoint for operators to read metrics and state. */
  readonly operators: Endpoint;
  readonly upstream: Endpoint;
  readonly service: string;
  /** Source of the published documents. */
  readonly store: Endpoint;
  /** Time from SIGTERM until the process is killed. */
  readonly graceMillis: number;
  /** Interval at which upstreams write their entries, if known. */
  readonly heartbeatMillis?: number | undefined;
  /** Shortest time from the end of an upstream until another service has its address. */
  readonly addressReuseMillis: number;
  /**
   * Maximum time from the acknowledgement of a document to its effect on a
   * node.
   */
  readonly applyWithinMillis: number;
  readonly repeatBound: RetryBound;
  readonly quotaBound: QuotaBound;
}
