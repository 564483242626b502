/**
 * What one node is told about itself and its surroundings.
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

/** Settings of a node. */
export interface NodeSettings {
  readonly nodeName: string;
  readonly zone: string;
  readonly region: string;
  /** Region of each availability zone. */
  readonly regionOfZone: ReadonlyMap<string, string>;
  readonly hostAddress: string;
  /** Where clients of this host and its upstream send requests. */
  readonly outbound: Endpoint;
  /** Where other nodes send requests for the upstream of this host. */
  readonly inbound: Endpoint;
  readonly ready: Endpoint;
  readonly upstream: Endpoint;
  readonly service: string;
  readonly store: Endpoint;
  /** Time from SIGTERM until the process is killed. */
  readonly graceMillis: number;
  readonly repeatBound: RepeatBound;
}
