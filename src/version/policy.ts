/**
 * The policy document as validated: one per deployment, immutable, identified
 * by an increasing version.
 */

/** How a route may be repeated after its outcome became unknown. */
export type PolicyRepeatRule =
  /** Read-only: may be repeated even on behalf of a request that may not. */
  | 'safe'
  /** May be repeated unless made on behalf of a request that may not. */
  | 'idempotent'
  /** Never sent again once a byte may have reached an upstream. */
  | 'never';

/** A class of importance; the document lists them most important first. */
export interface RequestClass {
  readonly name: string;
  /** Share of each upstream's limit, 0 to 1, that lower classes leave free. */
  readonly reservedRatio: number;
}

/** An API key, of which the document holds no more than a digest. */
export interface ApiKey {
  /** What operators call the key, for example by the year of its issue. */
  readonly name: string;
  /** SHA-256 of the key, lower-case hex. */
  readonly digest: string;
}

/** An organisation whose clients send requests with API keys. */
export interface PolicyOrganisation {
  readonly name: string;
  /** Importance before that of classes; 0 is the highest. */
  readonly priority: number;
  /** Requests that may run in the whole deployment; 0 means no limit. */
  readonly ratePerSecond: number;
  /** Requests that may run at once after a quiet time. */
  readonly burstCount: number;
  readonly apiKeys: readonly ApiKey[];
}

/** One kind of request a service answers. */
export interface Route {
  readonly name: string;
  readonly method: string;
  /** Path pattern: literal segments, `:name` for one segment, final `*`. */
  readonly path: string;
  readonly className: string;
  readonly repeat: PolicyRepeatRule;
  readonly deadlineMillis: number;
  /** Retries one request entering here may cause over the whole chain. */
  readonly retryBound: number;
  /** Clients need no API key. */
  readonly isPublic: boolean;
}

/** A group of equal upstreams. */
export interface Service {
  readonly name: string;
  /** Concurrent calls one upstream executes. */
  readonly slotsCount: number;
  /** Open connections one upstream accepts. */
  readonly connectionsCount: number;
  /** Calls that may wait at one upstream's node. */
  readonly queueCount: number;
  /** Longest wait in that queue. */
  readonly queueWaitMillis: number;
  /** Longest silence of an attempt before it is given up. */
  readonly progressTimeoutMillis: number;
  readonly routes: readonly Route[];
}

/** An availability zone and the region it belongs to. */
export interface AvailabilityZone {
  readonly name: string;
  readonly region: string;
}

/** Per-node bound on retries in relation to first attempts. */
export interface RetryBudgetPolicy {
  readonly ratio: number;
  readonly minimumPerSecond: number;
}

/** Bounds on messages. */
export interface BodyPolicy {
  /** Largest request body. */
  readonly requestBytes: number;
  /** Answers up to this size are held until complete before the first byte goes on. */
  readonly bufferedAnswerBytes: number;
}

/** Removal of failing hosts from routing. */
export interface EjectionPolicy {
  readonly consecutiveFailuresCount: number;
  readonly ejectionMillis: number;
  /** Share of a service's hosts that stay in use whatever fails, 0 to 1. */
  readonly floorRatio: number;
}

/** Times that bound recovery and leaving. */
export interface TimingPolicy {
  /** Time from acceptance of a version until new requests are served under it. */
  readonly activationMillis: number;
  /** Time a cold host takes to reach its full share of traffic. */
  readonly slowStartMillis: number;
  /** Longest wait for requests in flight at a planned stop. */
  readonly drainMillis: number;
  /** Shortest Retry-After sent to a caller. */
  readonly retryAfterMinimumMillis: number;
  /** Longest Retry-After sent to a caller. */
  readonly retryAfterMaximumMillis: number;
}

/** The whole document. */
export interface Policy {
  readonly formatVersion: 1;
  readonly version: number;
  readonly deployment: string;
  readonly availabilityZones: readonly AvailabilityZone[];
  readonly classes: readonly RequestClass[];
  readonly services: readonly Service[];
  /** Empty where clients need no API key. */
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
  /** Position of the class in the document; 0 is most important. */
  readonly classIndex: number;
}

/** A policy prepared for look-ups on the data path. */
export interface CompiledPolicy {
  readonly policy: Policy;
  readonly version: number;
  /** SHA-256 of the document as published, lower-case hex. */
  readonly digest: string;
  /** The document exactly as published, relayed to peers. */
  readonly documentBytes: Uint8Array;
  findService(serviceName: string): Service | undefined;
  /** `path` is without the query string. */
  findRoute(
    serviceName: string,
    method: string,
    path: string,
  ): RouteMatch | undefined;
}
