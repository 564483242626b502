/**
 * Requests that the upstream of this host works on, and those cancelled a moment
 * ago: an upstream may notice late that its caller has left.
 */

/** Executions of one upstream. */
export interface ExecutionsInProgress<T> {
  begin(execution: T): void;
  end(execution: T): void;
  /** Its caller has left. */
  cancel(execution: T): void;
  /** Those in progress, and those cancelled recently. */
  current(): readonly T[];
  has(execution: T): boolean;
}

/** Time for which a cancelled request may still be worked on. */
const CANCELLED_MILLIS = 500;

/** Creates an empty record. */
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
