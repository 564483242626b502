/**
 * Messages between two nodes about one request.
 */
import type {CancelCause} from './cancel_cause.js';

/** A request for the upstream of the receiving node. */
export interface HopRequest {
  /** Id of this hop, unique across nodes while the receiver remembers it. */
  readonly hopId: string;
  readonly attemptId: string;
  /** Id of the selected upstream; any other upstream refuses the request. */
  readonly upstreamId: string;
  readonly callerService: string;
  readonly method: string;
  readonly target: string;
  /** Names and values, alternating. */
  readonly headers: readonly string[];
  readonly isRepeatable: boolean;
  readonly bodyForm: BodyForm;
  /** Time until the deadline. */
  readonly leftMillis: number;
  /** Time until the latest start that can still meet the deadline. */
  readonly startWithinMillis: number;
  /**
   * Usual duration of similar requests at this service, as measured by the
   * sender.
   */
  readonly usualMillis?: number | undefined;
  readonly origin: OriginFields;
  /** Position of the documents in force at the sender, if it reports one. */
  readonly knownPosition?: PositionFields | undefined;
}

/** How the body of a request is sent. */
export type BodyForm =
  /** In the same frame as the request. */
  | 'inline'
  /** In frames that follow immediately. */
  | 'follows'
  /** Only after the receiver has requested it. */
  | 'held-back';

/** Origin that calls inherit from the request that made them. */
export interface OriginFields {
  readonly importance: number;
  /**
   * Organisation whose client sent the root request, if clients use API keys.
   */
  readonly organisationName?: string | undefined;
  readonly rootId: string;
  readonly rootRouteName: string;
  /** Time since the attempt of the root request began. */
  readonly rootAgeMillis: number;
  readonly isRepeat: boolean;
  /** Retries that are delegated to the receiver with the request. */
  readonly repeatsCount: number;
}

/** Position in the source of the published documents. */
export interface PositionFields {
  /** 0 if the sender runs a version that reports revisions only. */
  readonly epoch: number;
  readonly revision: number;
}

/** How an attempt ended at the node of the upstream. */
export type HopOutcome =
  /** The upstream responded. */
  | 'answered'
  /** Not run, and it will not run. */
  | 'refused'
  /** It may have run. */
  | 'unknown';

/** Why an attempt was refused or its outcome is unknown. */
export type HopReason =
  | 'none'
  /** The node is stopping, or the upstream has published that it is draining. */
  | 'draining'
  /** The upstream has announced in a response that it is leaving. */
  | 'leaving'
  /** The node has determined that its host runs another upstream. */
  | 'other-upstream'
  /** The upstream received the request and reported another upstream id. */
  | 'misdirected'
  | 'queue-full'
  /** Not run: the limit that the upstream announces leaves no place in time. */
  | 'rate-limited'
  | 'too-late'
  | 'unreachable'
  | 'not-executed'
  | 'broken-answer'
  | 'connection-lost'
  /** The upstream process ended while it worked on the request. */
  | 'upstream-crashed'
  /** Not run: the request crashes the upstreams that run it. */
  | 'quarantined'
  /**
   * Not run now: a suspect of a crash, which is run isolated from other
   * requests.
   */
  | 'isolated'
  /**
   * The node did not reply in time, or reported that it had not received the
   * request.
   */
  | 'silent'
  /** An order with the same attempt id may have run at this upstream already. */
  | 'repeated'
  /** The node cannot connect to the upstream, and another attempt replaces this one. */
  | 'upstream-lost'
  | CancelCause;

/** Result of a request at the receiving node. */
export interface HopResponse {
  readonly outcome: HopOutcome;
  readonly reason: HopReason;
  /** A call made on behalf of the request failed. */
  readonly hasFailedCall: boolean;
  /** Number of crashes while the request ran; set if its upstream crashed. */
  readonly crashesCount?: number | undefined;
  /** Delegated retries that were not spent. */
  readonly unspentCount: number;
  /** Number of downstream calls, by service. */
  readonly calls: ReadonlyMap<string, number>;
  readonly loads: readonly LoadFields[];
  /** Position of the documents in force at the receiver, if it reports one. */
  readonly knownPosition?: PositionFields | undefined;
  /** Response of the upstream; `undefined` unless the outcome is `answered`. */
  readonly message: ResponseFields | undefined;
}

/** Response of an upstream without its body. */
export interface ResponseFields {
  readonly statusCode: number;
  /** Names and values, alternating, as received. */
  readonly headers: readonly string[];
  /** The response had neither a content length nor a transfer encoding. */
  readonly isUnframed: boolean;
  /** The remaining body follows in separate frames. */
  readonly hasRest: boolean;
}

/** Load of one upstream. */
export interface LoadFields {
  readonly upstreamId: string;
  readonly service: string;
  readonly inFlightCount: number;
  readonly queuedCount: number;
  /** 0 while the node of the upstream cannot reach it. */
  readonly limitCount: number;
  /** Mean time for which a request holds a slot. */
  readonly averageMillis: number;
  /** Lowest importance of requests that should be sent to it. */
  readonly level: number;
  readonly ageMillis: number;
  /** Response time relative to its service, for similar requests. */
  readonly slownessRatio?: number | undefined;
  /** `undefined` while the service rejects no requests. */
  readonly rejections?: RejectionFields | undefined;
}

/** Rate of requests that an upstream rejects. */
export interface RejectionFields {
  readonly rejectedPerSecond: number;
  /** Rate of all arriving requests, including retries and rejected requests. */
  readonly arrivedPerSecond: number;
}

/** State of a hop that its sender claims after a lost connection. */
export type ClaimState =
  /** Not received; it will be refused if it arrives later. */
  | 'unknown'
  /** In progress; it continues on this connection. */
  | 'working'
  /** Completed; the response follows. */
  | 'finished'
  /** Completed; the response is no longer cached. */
  | 'gone';
