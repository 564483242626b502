/**
 * Load plan: flows of requests, the retry options of their callers and phases.
 */

/** How a caller times out and retries. */
export interface CallerRetryOptions {
  /** Timeout of one attempt. */
  readonly attemptTimeoutMillis: number;
  /** Timeout of the whole request, from its scheduled arrival. */
  readonly patienceMillis: number;
  /** Maximum number of retries after the first attempt. */
  readonly repeatsCount: number;
  /** Delay before each retry, unless a longer Retry-After is honoured. */
  readonly pauseMillis: number;
  /** Whether the caller waits for at least the Retry-After of a response. */
  readonly honoursRetryAfter: boolean;
  /** Which failures are retried: all, or those with the outcome `not-run`. */
  readonly repeatsAfter: 'any' | 'not-run';
}

/** One kind of request with its own arrival rate. */
export interface LoadFlow {
  readonly name: string;
  readonly className: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly ratePerSecond: number;
  readonly bodyBytes?: number | undefined;
  readonly habits: CallerRetryOptions;
}

/** A phase of the run; arrival rates are multiplied by `rateFactor`. */
export interface LoadPhase {
  readonly name: string;
  readonly durationMillis: number;
  readonly rateFactor: number;
}

/** Plan of a whole run. */
export interface LoadPlan {
  /** Caller ports of nodes; each attempt uses a random one. */
  readonly ports: readonly number[];
  readonly flows: readonly LoadFlow[];
  readonly phases: readonly LoadPhase[];
  readonly seed: number;
  /** Limit of requests in progress; excess arrivals are dropped and counted. */
  readonly maximumInProgressCount?: number | undefined;
  /** Width of the time buckets in which goodput is reported. */
  readonly bucketMillis?: number | undefined;
  /** Whether the report lists the names of good requests. */
  readonly areNamesKept?: boolean | undefined;
}
