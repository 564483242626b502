/**
 * Names of the headers that clients and upstreams use, chosen by a deployment.
 */

/** Lower-case header names, one field for each meaning. */
export interface WireHeaders {
  /** Identity of one attempt of a client. */
  readonly attemptId: string;
  /** Milliseconds the sender still waits. */
  readonly timeoutMillis: string;
  /** Mark of an answer that an upstream made itself. */
  readonly signature: string;
  /** Id of the only upstream that may run the request. */
  readonly expectedUpstreamId: string;
  /** Mark of an answer which states that the request was not run. */
  readonly notExecuted: string;
  /** Service on whose host the request began. */
  readonly callerService: string;
  /** Id of the upstream that answered. */
  readonly upstreamId: string;
}
