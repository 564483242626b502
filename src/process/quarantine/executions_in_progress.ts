/**
 * Requests that the upstream of this host is processing, and those cancelled
 * recently: an upstream may notice late that its caller has disconnected.
 */

/** Executions in progress at one upstream. */
export interface ExecutionsInProgress<T> {
  begin(execution: T): void;
  end(execution: T): void;
  /** Marks an execution as cancelled because its caller has disconnected. */
  cancel(execution: T): void;
  /** Executions in progress, and those cancelled recently. */
  current(): readonly T[];
  has(execution: T): boolean;
}

/** Time for which a cancelled request may still be processed. */
const CANCELLED_MILLIS = 500;

/** Creates an empty set of executions. */
export function createExecutionsInProgress<T>(
  nowMillis: () => number,
): ExecutionsInProgress<T> {
  const running = new Set<T>();
  /** By the time of their cancellation, oldest first. */
  const cancelled = new Map<T, number>();

  const expire = (): void => {
    const sinceMillis = nowMillis() - CANCELLED_MILLIS;
    for (const [execution, atMillis] of cancelled) {
      if (atMillis >= sinceMillis) return;
      cancelled.delete(execution);
    }
  };

  return {
    begin: execution => {
      running.add(execution);
    },
    end: execution => {
      running.delete(execution);
    },
    cancel: execution => {
      running.delete(execution);
      expire();
      cancelled.set(execution, nowMillis());
    },
    current: () => {
      expire();
      return [...running, ...cancelled.keys()];
    },
    has: execution => running.has(execution) || cancelled.has(execution),
  };
}
