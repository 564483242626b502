/**
 * An upstream's own record of what it executed, the truth that outcomes told
 * to callers are compared with.
 */

/** One execution; times are Unix milliseconds. */
export interface Execution {
  readonly sequence: number;
  /** Name the client gave its request, see REQUEST_PARAMETER. */
  readonly request: string;
  readonly method: string;
  /** Path without the query string. */
  readonly path: string;
  readonly startMillis: number;
  endMillis: number | undefined;
  /** Whether the work was done to its end, whatever became of the answer. */
  isComplete: boolean;
  /** Whether a whole answer, success or error, was handed to the connection. */
  isAnswered: boolean;
  /** Whether the client's disconnection stopped the work. */
  isCancelled: boolean;
  /**
   * Calls made on the request's behalf, the application's own repeats
   * included, counted by `callTarget`.
   */
  readonly calls: Record<string, number>;
}

/** Names the service and path that a call goes to. */
export function callTargetKey(service: string, path: string): string {
  return `${service} ${path}`;
}

/** A request that reached an upstream, executed or not. */
export interface ArrivalCount {
  readonly request: string;
  readonly path: string;
  readonly count: number;
}

/** Query parameter that carries a client's name for its request. */
export const REQUEST_PARAMETER = 'request';

/** Fields that select executions; an absent field selects all. */
export interface ExecutionFilter {
  readonly request?: string | undefined;
  readonly path?: string | undefined;
}

/** What a new execution is known by. */
export type ExecutionStart = Pick<Execution, 'request' | 'method' | 'path'>;

/** Executions in order of start. */
export interface ExecutionRecord {
  start(start: ExecutionStart): Execution;
  find(filter: ExecutionFilter): readonly Execution[];
  /** Counts a request at its arrival, before anything is decided about it. */
  recordArrival(request: string, path: string): void;
  arrivals(): readonly ArrivalCount[];
  clear(): void;
}

/** Executions kept; an emulated run never comes near it. */
const MAXIMUM_EXECUTIONS_COUNT = 1_000_000;

/** Creates an empty record; throws when full rather than forget. */
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
