/**
 * Description of load: flows of requests, callers' habits and phases.
 */

/** How a caller goes on after a failure. */
export interface CallerRetryOptions {
  /** How long it waits for one answer. */
  readonly attemptTimeoutMillis: number;
  /** How long the whole request is worth anything to it. */
  readonly patienceMillis: number;
  /** Further attempts after the first. */
  readonly repeatsCount: number;
  /** Pause before each, unless a Retry-After says otherwise. */
  readonly pauseMillis: number;
  /** Waits for as long as a Retry-After tells. */
  readonly honoursRetryAfter: boolean;
  /** Which failures it repeats after. */
  readonly repeatsAfter: 'any' | 'not-run';
}

/** One kind of request that arrives at a rate of its own. */
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

/** A stretch of the run; rates are multiplied by the factor. */
export interface LoadPhase {
  readonly name: string;
  readonly durationMillis: number;
  readonly rateFactor: number;
}

/** A whole run. */
export interface LoadPlan {
  /** Caller ports of nodes; each attempt goes to a random one. */
  readonly ports: readonly number[];
  readonly flows: readonly LoadFlow[];
  readonly phases: readonly LoadPhase[];
  readonly seed: number;
  /** Requests in progress; arrivals beyond are dropped and counted. */
  readonly maximumInProgressCount?: number | undefined;
  /** Width of the steps in which goodput over time is reported. */
  readonly bucketMillis?: number | undefined;
  /** Lists the names of good requests in the report. */
  readonly areNamesKept?: boolean | undefined;
}
