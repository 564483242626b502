/**
 * An upstream's record of the requests it executed, against which tests check
 * the outcomes that nodes report to callers.
 */

/** One execution; times are Unix milliseconds. */
export interface Execution {
  readonly sequence: number;
  /** Name that the client gave the request, see REQUEST_PARAMETER. */
  readonly request: string;
  readonly method: string;
  /** Path without the query string. */
  readonly path: string;
  readonly startMillis: number;
  endMillis: number | undefined;
  /** Whether the work was completed, even if the response was not delivered. */
  isComplete: boolean;
  /** Whether a complete response, success or error, was written to the socket. */
  isAnswered: boolean;
  /** Whether the work was cancelled because the client disconnected. */
  isCancelled: boolean;
  /**
   * Downstream calls made for the request, including the application's own
   * retries, counted by `callTargetKey`.
   */
  readonly calls: Record<string, number>;
}

/** Returns the key under which calls to a service and path are counted. */
export function callTargetKey(service: string, path: string): string {
  return `${service} ${path}`;
}

/** Number of times a request reached an upstream, executed or not. */
export interface ArrivalCount {
  readonly request: string;
  readonly path: string;
  readonly count: number;
}

/** Query parameter that carries the client's name for its request. */
export const REQUEST_PARAMETER = 'request';

/** Filter for executions; an absent field matches all. */
export interface ExecutionFilter {
  readonly request?: string | undefined;
  readonly path?: string | undefined;
}

/** Fields that identify a new execution. */
export type ExecutionStart = Pick<Execution, 'request' | 'method' | 'path'>;

/** Executions in the order in which they were started. */
export interface ExecutionRecord {
  start(start: ExecutionStart): Execution;
  find(filter: ExecutionFilter): readonly Execution[];
  /** Counts a request when it arrives, before it is executed or rejected. */
  recordArrival(request: string, path: string): void;
  arrivals(): readonly ArrivalCount[];
  clear(): void;
}

/** Maximum number of executions; far above that of any emulated run. */
const MAXIMUM_EXECUTIONS_COUNT = 1_000_000;

/**
 * Creates an empty record. `start` throws a RangeError when the record is full
 * instead of evicting executions.
 */
export function createExecutionRecord(
  maximumCount = MAXIMUM_EXECUTIONS_COUNT,
): ExecutionRecord {
  const executions: Execution[] = [];
  const arrivals = new Map<string, ArrivalCount>();
  let nextSequence = 1;
  return {
    start: start => {
      if (executions.length >= maximumCount) {
        throw new RangeError('execution record is full');
      }
      const execution: Execution = {
        ...start,
        sequence: nextSequence,
        startMillis: Date.now(),
        endMillis: undefined,
        isComplete: false,
        isAnswered: false,
        isCancelled: false,
        calls: {},
      };
      nextSequence += 1;
      executions.push(execution);
      return execution;
    },
    find: filter =>
      executions.filter(
        execution =>
          (filter.request === undefined ||
            execution.request === filter.request) &&
          (filter.path === undefined || execution.path === filter.path),
      ),
    recordArrival: (request, path) => {
      const id = JSON.stringify([request, path]);
      const count = (arrivals.get(id)?.count ?? 0) + 1;
      arrivals.set(id, {request, path, count});
    },
    arrivals: () => [...arrivals.values()],
    clear: () => {
      executions.length = 0;
      arrivals.clear();
    },
  };
}
