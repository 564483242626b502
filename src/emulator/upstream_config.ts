/**
 * Configuration and faults of an emulated upstream.
 */

/** One downstream call that an upstream makes for a request. */
export interface PlannedCall {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly bodyBytes?: number | undefined;
  /** Whether the request succeeds even if this call fails. */
  readonly isOptional?: boolean | undefined;
}

/** How an upstream executes the requests of one route. */
export interface UpstreamRoute {
  readonly method: string;
  /** Literal segments, `:name` for any one segment, a final `*` for the rest. */
  readonly path: string;
  /** Median of the service time, without the calls. */
  readonly serviceMillis: number;
  /** Sigma of the log-normal service time; 0 for a fixed time. */
  readonly serviceSigma?: number | undefined;
  readonly answerBytes: number;
  /** Sends the response chunked instead of with a Content-Length. */
  readonly isChunked?: boolean | undefined;
  /** Adds a Content-Digest header. */
  readonly hasDigest?: boolean | undefined;
  /** Stages run in sequence, the calls of a stage in parallel. */
  readonly callStages?: readonly (readonly PlannedCall[])[] | undefined;
}

/** Fault that an upstream injects into requests. */
export type FaultMode =
  | 'none'
  /** Starts the execution and never responds. */
  | 'silent'
  /** Executes, then holds the response until it is released. */
  | 'hold'
  /** Executes, then truncates the response at `cutAt`. */
  | 'cut'
  /** Executes, then resets the connection. */
  | 'reset'
  /** Resets the connection without executing. */
  | 'reset-unrun'
  /** Executes, then responds with 500. */
  | 'error'
  /** Executes, then responds with 503, without the not-executed header. */
  | 'unavailable'
  /** Responds with 503 without executing, and with the not-executed header. */
  | 'refuse';

/** Where a response is truncated. */
export type CutPosition = 'headers' | 'middle' | 'last-byte';

/** How an upstream passes the request id on to its calls. */
export type ContextMode =
  | 'copy'
  | 'drop'
  /** Passes on the id of the previous request instead. */
  | 'previous';

/** Faults that can be changed while an upstream is running. */
export interface UpstreamFault {
  readonly mode: FaultMode;
  readonly cutAt: CutPosition;
  /** Number of requests that `mode` still affects; null for all. */
  readonly remainingCount: number | null;
  /** `mode` affects only paths with this prefix. */
  readonly pathPrefix: string;
  /** Multiplies service times. */
  readonly slowFactor: number;
  readonly contextMode: ContextMode;
  /** Number of times the application itself retries a failed call. */
  readonly callRepeatsCount: number;
  /** Limit of requests per second that all responses announce; null for none. */
  readonly announcedLimit: number | null;
  /** All responses announce that the upstream is leaving. */
  readonly isLeaving: boolean;
}

/** State without a fault. */
export const NO_FAULT: UpstreamFault = {
  mode: 'none',
  cutAt: 'middle',
  remainingCount: null,
  pathPrefix: '',
  slowFactor: 1,
  contextMode: 'copy',
  callRepeatsCount: 0,
  announcedLimit: null,
  isLeaving: false,
};

/** Configuration of an emulated upstream; port 0 selects any free port. */
export interface UpstreamConfig {
  readonly hostName: string;
  readonly service: string;
  readonly address?: string | undefined;
  readonly port: number;
  readonly controlPort?: number | undefined;
  /** Port of the local listener of the node on this host; 0 if there is none. */
  readonly localPort: number;
  /** Address of that listener; the loopback address if absent. */
  readonly localAddress?: string | undefined;
  /** Requests executed concurrently; others wait in order of arrival. */
  readonly slotsCount: number;
  /** Limit of requests that wait for a slot; others are rejected. */
  readonly queueCount?: number | undefined;
  /** Limit of open connections; none if absent. */
  readonly connectionsCount?: number | undefined;
  readonly seed?: number | undefined;
  readonly routes: readonly UpstreamRoute[];
}

/** Finds the first matching route; `path` must not include the query string. */
export function findUpstreamRoute(
  routes: readonly UpstreamRoute[],
  method: string,
  path: string,
): UpstreamRoute | undefined {
  const segments = path.split('/');
  return routes.find(
    route =>
      route.method === method && matchesPath(route.path.split('/'), segments),
  );
}

function matchesPath(
  pattern: readonly string[],
  segments: readonly string[],
): boolean {
  const hasRest = pattern.at(-1) === '*';
  const fixed = hasRest ? pattern.slice(0, -1) : pattern;
  const hasMatchingLength = hasRest
    ? segments.length > fixed.length
    : segments.length === fixed.length;
  return (
    hasMatchingLength &&
    fixed.every((part, i) => part.startsWith(':') || part === segments[i])
  );
}
