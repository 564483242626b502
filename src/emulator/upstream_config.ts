/**
 * Configuration and faults of a stand-in upstream.
 */

/** One call an upstream makes on behalf of a request. */
export interface PlannedCall {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly bodyBytes?: number | undefined;
  /** The request succeeds without this call. */
  readonly isOptional?: boolean | undefined;
}

/** How requests of one route are executed. */
export interface UpstreamRoute {
  readonly method: string;
  /** Literal segments, `:name` for one segment, final `*`. */
  readonly path: string;
  /** Median of the service time, apart from calls. */
  readonly serviceMillis: number;
  /** Spread of the log-normal service time; 0 for a fixed time. */
  readonly serviceSigma?: number | undefined;
  readonly answerBytes: number;
  /** Sends the answer in chunks instead of with a Content-Length. */
  readonly isChunked?: boolean | undefined;
  /** Adds a Content-Digest. */
  readonly hasDigest?: boolean | undefined;
  /** Stages run one after another, the calls of a stage in parallel. */
  readonly callStages?: readonly (readonly PlannedCall[])[] | undefined;
}

/** What an upstream does with a request instead of answering it properly. */
export type FaultMode =
  | 'none'
  /** Starts the execution and never answers. */
  | 'silent'
  /** Executes, then waits with the answer until released. */
  | 'hold'
  /** Executes, then breaks the answer off at `cutAt`. */
  | 'cut'
  /** Executes, then resets the connection. */
  | 'reset'
  /** Resets the connection without executing. */
  | 'reset-unrun'
  /** Executes, then answers 500. */
  | 'error'
  /** Executes, then answers 503 without saying more. */
  | 'unavailable'
  /** Answers 503 without executing and says so. */
  | 'refuse';

/** Where an answer breaks off. */
export type CutPosition = 'headers' | 'middle' | 'last-byte';

/** From which request's id an upstream derives the ids of its calls. */
export type ContextMode =
  | 'copy'
  | 'drop'
  /** From the request before this one. */
  | 'previous';

/** Behaviour that can be changed while an upstream runs. */
export interface UpstreamFault {
  readonly mode: FaultMode;
  readonly cutAt: CutPosition;
  /** Requests still affected by `mode`; null for all. */
  readonly remainingCount: number | null;
  /** Only paths that start with this are affected by `mode`. */
  readonly pathPrefix: string;
  /** Multiplies service times. */
  readonly slowFactor: number;
  readonly contextMode: ContextMode;
  /** Times the application repeats each of its calls that failed. */
  readonly callRepeatsCount: number;
}

/** Behaviour without any fault. */
export const NO_FAULT: UpstreamFault = {
  mode: 'none',
  cutAt: 'middle',
  remainingCount: null,
  pathPrefix: '',
  slowFactor: 1,
  contextMode: 'copy',
  callRepeatsCount: 0,
};

/** Configuration of one stand-in upstream; port 0 lets the system choose. */
export interface UpstreamConfig {
  readonly hostName: string;
  readonly service: string;
  readonly address?: string | undefined;
  readonly port: number;
  readonly controlPort?: number | undefined;
  /** Local listener of the node on the same host; 0 when there is none. */
  readonly localPort: number;
  /** Address of that listener. */
  readonly localAddress?: string | undefined;
  /** Requests executed at a time; more wait in order of arrival. */
  readonly slotsCount: number;
  /** Requests that may wait for a slot; more are refused. */
  readonly queueCount?: number | undefined;
  /** Open connections accepted; unbounded when absent. */
  readonly connectionsCount?: number | undefined;
  readonly seed?: number | undefined;
  readonly routes: readonly UpstreamRoute[];
}

/** Finds the first route that matches; `path` is without the query string. */
export function findUpstreamRoute(
  routes: readonly UpstreamRoute[],
  method: string,
  path: string,
): UpstreamRoute | undefined {
  const segments = path.split('/');
  return routes.find(
    route =>
      route.method === method && matches(route.path.split('/'), segments),
  );
}

function matches(
  pattern: readonly string[],
  segments: readonly string[],
): boolean {
  const hasRest = pattern.at(-1) === '*';
  const fixed = hasRest ? pattern.slice(0, -1) : pattern;
  const isLengthRight = hasRest
    ? segments.length > fixed.length
    : segments.length === fixed.length;
  return (
    isLengthRight &&
    fixed.every((part, i) => part.startsWith(':') || part === segments[i])
  );
}
