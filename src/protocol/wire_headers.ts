/**
 * Names of the headers that clients and upstreams use, chosen by a deployment.
 */

/** Lower-case header names, one field for each meaning. */
export interface WireHeaders {
  /** Identity of one attempt of a client. */
  readonly attemptId: string;
  /** Milliseconds the sender still waits. */
  readonly timeoutMillis: string;
  /** Clients give the attempt's id; without one a request is refused. */
  readonly isAttemptIdRequired: boolean;
  /** Mark of an answer that an upstream made itself, where there is one. */
  readonly signature?: string;
  /** Id of the only upstream that may run the request. */
  readonly expectedUpstreamId: string;
  /** Id of the upstream that answers, if it sends one. */
  readonly upstreamId?: string;
  /** Mark of an answer which states that the request was not run. */
  readonly notExecuted: string;
  /** Service on whose host the request began. */
  readonly callerService: string;
  /** Name of the organisation whose client sent the request; set by nodes only. */
  readonly organisation: string;
  /** What a node adds to its answers, where clients want to know. */
  readonly notes?: NoteHeaders;
}

/** Headers of answers that report how a request was treated. */
export interface NoteHeaders {
  /** `not-run` or `unknown`, on failures of the node's own. */
  readonly outcome: string;
  /** Why, on failures of the node's own. */
  readonly reason: string;
  readonly configurationVersion: string;
  /** Repeats spent on the request over the whole chain. */
  readonly repeatsCount: string;
}
