/**
 * Names of the headers that clients and upstreams use, configured per
 * deployment.
 */

/** Lower-case header names, one field per meaning. */
export interface WireHeaders {
  /** Id of one attempt of a client. */
  readonly attemptId: string;
  /** Remaining time for which the sender waits, in milliseconds. */
  readonly timeoutMillis: string;
  /**
   * Clients give each attempt an id of its own; requests of clients without one are
   * refused.
   */
  readonly isAttemptIdRequired: boolean;
  /** Upstreams return the attempt id in all responses. */
  readonly isAttemptIdEchoed: boolean;
  /**
   * Signature that marks a response as produced by the upstream, if it sends
   * one.
   */
  readonly signature?: string;
  /** Id of the only upstream that may run the request. */
  readonly expectedUpstreamId: string;
  /** Id of the responding upstream, if it sends one. */
  readonly upstreamId?: string;
  /** Marks a response that reports that the request was not run. */
  readonly notExecuted: string;
  /**
   * Requests per second that the responding upstream accepts from all nodes
   * together; sent while its limit applies.
   */
  readonly requestLimit: string;
  /** Sent with the value 1 by an upstream that is leaving. */
  readonly leaving: string;
  /** Service on whose host the request originated. */
  readonly callerService: string;
  /**
   * Name of the organisation whose client sent the request; set by nodes only.
   */
  readonly organisation: string;
  /** Headers that a node adds to its responses, if clients use them. */
  readonly notes?: NoteHeaders;
}

/** Response headers that report how a request was handled. */
export interface NoteHeaders {
  /** `not-run` or `unknown`, on failures reported by the node itself. */
  readonly outcome: string;
  /** Reason of a failure reported by the node itself. */
  readonly reason: string;
  readonly configurationVersion: string;
  /** Retries spent on the request over the whole call chain. */
  readonly repeatsCount: string;
}
