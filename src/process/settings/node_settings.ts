/**
 * Settings of one node: itself and its surroundings.
 */

/** Address and port to bind or to connect to. */
export interface Endpoint {
  readonly address: string;
  readonly port: number;
}

/** Bound on the repeats that one service receives from the whole fleet. */
export interface RepeatBound {
  /** Repeats for each request, within the window. */
  readonly ratio: number;
  readonly windowMillis: number;
  /** Repeats of the whole fleet on top, for each window. */
  readonly slackCount: number;
}

/** How far the quotas of organisations may be exceeded. */
export interface QuotaBound {
  /** Time over which requests are counted. */
  readonly windowMillis: number;
  /** Part of a quota that may run on top of it within the window. */
  readonly overageRatio: number;
  /** Requests that may run on top of both. */
  readonly slackCount: number;
}

/** Settings of a node. */
export interface NodeSettings {
  readonly nodeName: string;
  readonly zone: string;
  readonly region: string;
  /** The own host, as entries of upstreams identify it. */
  readonly hostKey: string;
  /** Where clients of this host and its upstream send requests. */
  readonly outbound: Endpoint;
  /** Where the upstream sends its calls, if apart from its host's clients. */
  readonly local?: Endpoint;
  /** Where other nodes send requests for the upstream of this host. */
  readonly inbound: Endpoint;
  /** Where only readiness is asked for, if apart from `operators`. */
  readonly ready: Endpoint | undefined;
  /** Where operators read metrics and state. */
  readonly operators: Endpoint;
  readonly upstream: Endpoint;
  readonly service: string;
  /** Source of the published documents. */
  readonly store: Endpoint;
  /** Time from SIGTERM until the process is killed. */
  readonly graceMillis: number;
  /** Interval at which upstreams write their entries, if it is known. */
  readonly heartbeatMillis?: number | undefined;
  /** Bound from the acknowledgement of a document to its effect at a node. */
  readonly applyWithinMillis: number;
  readonly repeatBound: RepeatBound;
  readonly quotaBound: QuotaBound;
}
