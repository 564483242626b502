/**
 * What messages between two nodes about one request say.
 */

/** A request for the upstream beside the receiving node. */
export interface HopRequest {
  /** Identity of this hop, unique among nodes for as long as it is remembered. */
  readonly hopId: string;
  readonly attemptId: string;
  /** The upstream that was chosen; any other one refuses. */
  readonly upstreamId: string;
  readonly callerService: string;
  readonly method: string;
  readonly target: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly isRepeatable: boolean;
  readonly bodyForm: BodyForm;
  /** Time until the deadline. */
  readonly leftMillis: number;
  /** Time until the latest useful start. */
  readonly startWithinMillis: number;
  /** What its like usually takes at this service, as far as its sender knows. */
  readonly usualMillis?: number | undefined;
  readonly origin: OriginFields;
  /** Up to which its sender has the documents in force, if it reports it. */
  readonly knownPosition?: PositionFields | undefined;
}

/** Where the body of a request is. */
export type BodyForm =
  /** In the same frame. */
  | 'inline'
  /** In frames that follow at once. */
  | 'follows'
  /** At the sender until the receiver asks for it. */
  | 'held-back';

/** What the calls of a request inherit, as sent. */
export interface OriginFields {
  readonly importance: number;
  /** Organisation whose client sent the root, if clients have API keys. */
  readonly organisationName?: string | undefined;
  readonly rootId: string;
  readonly rootRouteName: string;
  /** Age of the root's attempt. */
  readonly rootAgeMillis: number;
  readonly isRepeat: boolean;
  /** Repeats that go with the request. */
  readonly repeatsCount: number;
}

/** Position in the source of the published documents, as sent. */
export interface PositionFields {
  /** 0 from a node of a version that sends revisions alone. */
  readonly epoch: number;
  readonly revision: number;
}

/** How an attempt ended at the node beside the upstream. */
export type HopOutcome =
  /** The answer is the upstream's. */
  | 'answered'
  /** Not run, and it will not be. */
  | 'refused'
  /** It may have run. */
  | 'unknown';

/** Why an attempt was refused or its outcome is not known. */
export type HopReason =
  | 'none'
  | 'draining'
  /** Its node knows that this upstream is not there. */
  | 'other-upstream'
  /** The upstream was handed it and says that it is another one. */
  | 'misdirected'
  | 'queue-full'
  | 'too-late'
  | 'unreachable'
  | 'not-executed'
  | 'broken-answer'
  | 'connection-lost'
  /** The upstream's process ended while it worked on the request. */
  | 'upstream-crashed'
  /** Not run, since it crashes the upstreams that run it. */
  | 'quarantined'
  /** Not run now, since it may crash upstreams and is tried apart from others. */
  | 'isolated'
  | 'silent'
  | 'timeout'
  | 'cancelled';

/** What came of a request. */
export interface HopResponse {
  readonly outcome: HopOutcome;
  readonly reason: HopReason;
  /** A call that was made for the request failed. */
  readonly hasFailedCall: boolean;
  /** Crashes under the request, if its upstream crashed; none otherwise. */
  readonly crashesCount?: number | undefined;
  /** Repeats that went with the request and were not spent. */
  readonly unspentCount: number;
  /** Calls made below, by service. */
  readonly calls: ReadonlyMap<string, number>;
  readonly loads: readonly LoadFields[];
  /** Up to which the receiver has the documents in force, if it reports it. */
  readonly knownPosition?: PositionFields | undefined;
  /** The upstream's answer; `undefined` unless the outcome is `answered`. */
  readonly message: ResponseFields | undefined;
}

/** An upstream's answer without its body. */
export interface ResponseFields {
  readonly statusCode: number;
  /** Names and values in turn, as received. */
  readonly headers: readonly string[];
  /** The upstream sent no length of the body. */
  readonly isUnframed: boolean;
  /** More of the body follows in frames of its own. */
  readonly hasRest: boolean;
}

/** Load of one upstream, as sent. */
export interface LoadFields {
  readonly upstreamId: string;
  readonly service: string;
  readonly inFlightCount: number;
  readonly queuedCount: number;
  /** 0 while the upstream cannot be reached by its node. */
  readonly limitCount: number;
  /** Mean time for which a request holds a slot. */
  readonly averageMillis: number;
  /** Least important value that it would like to receive. */
  readonly level: number;
  readonly ageMillis: number;
  /** Time it takes against that of its service, for requests alike. */
  readonly slownessRatio?: number | undefined;
  /** `undefined` while its service rejects nothing. */
  readonly rejections?: RejectionFields | undefined;
}

/** Rejections of what an upstream is handed, as sent. */
export interface RejectionFields {
  readonly rejectedPerSecond: number;
  /** Requests that arrived, repeats and rejected ones included. */
  readonly arrivedPerSecond: number;
}

/** What a node knows of a hop that its sender asks for. */
export type ClaimState =
  /** It has not arrived, and would be refused now. */
  | 'unknown'
  /** It is in progress, and goes on here. */
  | 'working'
  /** It was answered, and the answer follows. */
  | 'finished'
  /** It was answered, and the answer is not kept any more. */
  | 'gone';
