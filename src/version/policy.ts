/**
 * The validated policy document: one per deployment, immutable, identified by
 * an increasing version.
 */

/** Whether a request may be retried after its outcome became unknown. */
export type PolicyRepeatRule =
  /** Read-only: may be retried even on behalf of a request that may not. */
  | 'safe'
  /** May be retried unless made on behalf of a request that may not. */
  | 'idempotent'
  /** Never sent again once a byte may have reached an upstream. */
  | 'never';

/** A priority class; the document lists the classes most important first. */
export interface RequestClass {
  readonly name: string;
  /** Share of each upstream's limit, 0 to 1, that lower classes cannot use. */
  readonly reservedRatio: number;
}

/** An API key; the document contains only its digest. */
export interface ApiKey {
  /**
   * Name of the key for operators, for example the year in which it was issued.
   */
  readonly name: string;
  /** SHA-256 of the key, lower-case hex. */
  readonly digest: string;
}

/** An organisation whose clients send requests with API keys. */
export interface PolicyOrganisation {
  readonly name: string;
  /** Priority, compared before the class of a request; 0 is the highest. */
  readonly priority: number;
  /**
   * Requests per second that may run in the whole deployment; 0 means no limit.
   */
  readonly ratePerSecond: number;
  /** Requests that may run at once after an idle period. */
  readonly burstCount: number;
  readonly apiKeys: readonly ApiKey[];
}

/** One kind of request that a service handles. */
export interface Route {
  readonly name: string;
  readonly method: string;
  /** Path pattern: literal segments, `:name` for one segment, final `*`. */
  readonly path: string;
  readonly className: string;
  readonly repeat: PolicyRepeatRule;
  readonly deadlineMillis: number;
  /**
   * Retries that one request on this route may cause over its whole call chain.
   */
  readonly retryBound: number;
  /** Clients need no API key. */
  readonly isPublic: boolean;
}

/** A group of interchangeable upstreams. */
export interface Service {
  readonly name: string;
  /** Concurrent calls one upstream executes. */
  readonly slotsCount: number;
  /** Open connections one upstream accepts. */
  readonly connectionsCount: number;
  /** Calls that may be queued at one upstream's node. */
  readonly queueCount: number;
  /** Longest wait in that queue. */
  readonly queueWaitMillis: number;
  /** Longest time without progress before an attempt is abandoned. */
  readonly progressTimeoutMillis: number;
  readonly routes: readonly Route[];
}

/** An availability zone and the region it belongs to. */
export interface AvailabilityZone {
  readonly name: string;
  readonly region: string;
}

/** Per-node limit on retries relative to first attempts. */
export interface RetryBudgetPolicy {
  readonly ratio: number;
  readonly minimumPerSecond: number;
}

/** Limits on message bodies. */
export interface BodyPolicy {
  /** Largest request body. */
  readonly requestBytes: number;
  /**
   * Responses up to this size are buffered completely before they are
   * forwarded.
   */
  readonly bufferedAnswerBytes: number;
}

/** Removal of failing hosts from routing. */
export interface EjectionPolicy {
  readonly consecutiveFailuresCount: number;
  readonly ejectionMillis: number;
  /** Share of a service's hosts, 0 to 1, that is never ejected. */
  readonly floorRatio: number;
}

/** Time limits of activation, recovery and shutdown. */
export interface TimingPolicy {
  /** Time from acceptance of a version until new requests are served under it. */
  readonly activationMillis: number;
  /** Time a cold host takes to reach its full share of traffic. */
  readonly slowStartMillis: number;
  /** Longest wait for requests in flight during a planned stop. */
  readonly drainMillis: number;
  /** Shortest Retry-After sent to a caller. */
  readonly retryAfterMinimumMillis: number;
  /** Longest Retry-After sent to a caller. */
  readonly retryAfterMaximumMillis: number;
}

/** The complete policy document. */
export interface Policy {
  readonly formatVersion: 1;
  readonly version: number;
  readonly deployment: string;
  readonly availabilityZones: readonly AvailabilityZone[];
  readonly classes: readonly RequestClass[];
  readonly services: readonly Service[];
  /** Empty if clients need no API key. */
  readonly organisations: readonly PolicyOrganisation[];
  readonly retryBudget: RetryBudgetPolicy;
  readonly bodies: BodyPolicy;
  readonly ejection: EjectionPolicy;
  readonly timing: TimingPolicy;
}

/** A route found for a request, with its class resolved. */
export interface RouteMatch {
  readonly service: Service;
  readonly route: Route;
  /** Index of the class in the document; 0 is the most important. */
  readonly classIndex: number;
}

/** A policy compiled for lookups on the data path. */
export interface CompiledPolicy {
  readonly policy: Policy;
  readonly version: number;
  /** SHA-256 of the document as published, lower-case hex. */
  readonly digest: string;
  /** The document exactly as published, for relaying to peers. */
  readonly documentBytes: Uint8Array;
  findService(serviceName: string): Service | undefined;
  /** `path` is without the query string. */
  findRoute(
    serviceName: string,
    method: string,
    path: string,
  ): RouteMatch | undefined;
}
